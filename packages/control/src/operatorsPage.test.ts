import { readdirSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { FakeCluster } from './testing/FakeCluster.js'

const SOURCES = fileURLToPath(new URL('../src/', import.meta.url))
const PAGE = readFileSync(new URL('../../../docs/operators.md', import.meta.url), 'utf8')

describe('the operators\' page', () => {
  it('lists every log event of this package with its level, and no other', () => {
    const events = readdirSync(SOURCES).filter(name => name.endsWith('.ts') && !name.endsWith('.test.ts'))
      .flatMap(name => [...readFileSync(`${SOURCES}${name}`, 'utf8').matchAll(/log\.(info|warn|error|debug)\('([a-z.-]+)'/g)])
      .map(([, level, event]) => `${event} ${level}`)
    const documented = [...PAGE.matchAll(/^\| `([a-z-]+\.[a-z-]+)` \| (\w+) \|/gm)].map(([, event, level]) => `${event} ${level}`)
    expect(documented.sort()).to.deep.equal([...new Set(events)].sort())
  })

  it('lists every metric of this package', async () => {
    const cluster = await FakeCluster.start(1)
    const names = cluster.node(1).registry.getMetricsAsArray().map(({ name }) => name)
    await cluster.stop()
    for (const name of names) expect(PAGE).to.include(`| \`${name}\` |`)
  })
})
