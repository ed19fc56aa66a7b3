import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'

const PACKAGES = fileURLToPath(new URL('../../../', import.meta.url))
const PAGE = readFileSync(join(PACKAGES, '../docs/OPERATIONS.md'), 'utf8')
const EVENT_PATTERN = /log\.(?:info|warn|error)\('([a-z-]+\.[a-z-]+)'/g
const METRIC_PATTERN = /name: '(carobpitch_[a-z_]+)'/g

/** Returns the first capture group of every match in the sources below a directory, without tests. */
function findNames (directory: string, pattern: RegExp): Set<string> {
  const files = readdirSync(join(PACKAGES, directory), { recursive: true }).map(String).filter(file => file.endsWith('.ts') && !file.endsWith('.test.ts'))
  const texts = files.map(file => readFileSync(join(PACKAGES, directory, file), 'utf8'))
  return new Set(texts.flatMap(text => [...text.matchAll(pattern)].map(([, name]) => name as string)))
}

/** Events listed in the page's table. */
function eventsOnPage (): string[] {
  const table = PAGE.slice(PAGE.indexOf('## Events'), PAGE.indexOf('## Metrics'))
  const firstCells = table.split('\n').filter(line => line.startsWith('| `')).map(line => line.split('|')[1] ?? '')
  return firstCells.flatMap(cell => [...cell.matchAll(/`([a-z-]+\.[a-z-]+)`/g)].map(([, name]) => name as string))
}

describe('the operations page', () => {
  it('guards against events of the front program that operators cannot look up', () => {
    const loggedEvents = [...findNames('gateway/src', EVENT_PATTERN), ...findNames('daemon/src/front', EVENT_PATTERN)]
    const missing = loggedEvents.filter(event => !PAGE.includes(`\`${event}\``))
    expect(missing).to.deep.equal([])
  })

  it('guards against events that no program writes', () => {
    const sources = readdirSync(PACKAGES).flatMap(name => [...findNames(`${name}/src`, /'([a-z-]+\.[a-z-]+)'/g)])
    expect(eventsOnPage().filter(event => !sources.includes(event))).to.deep.equal([])
  })

  it('guards against metrics that operators cannot look up', () => {
    const metrics = [...findNames('gateway/src', METRIC_PATTERN), ...findNames('daemon/src/front', METRIC_PATTERN)]
    expect(metrics.length).to.be.greaterThan(5)
    expect(metrics.filter(metric => !PAGE.includes(`\`${metric}\``))).to.deep.equal([])
  })
})
