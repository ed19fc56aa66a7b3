import { spawn } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { FAULT_MATRIX } from './faultMatrix.js'
import { findCell, findUnusedPairRules, findUnusedRules, findPairCell, type MatrixRule } from './MatrixRule.js'
import { listNamedTests, renderMatrix } from './renderMatrix.js'

async function listTests (): Promise<string[]> {
  const child = spawn(process.execPath, [fileURLToPath(new URL('listTests.js', import.meta.url))], { stdio: ['ignore', 'pipe', 'inherit'] })
  let output = ''
  for await (const chunk of child.stdout) output += String(chunk)
  return JSON.parse(output) as string[]
}

describe('fault matrix', () => {
  it('names only tests that exist, guarding against a proof whose test was renamed or removed', async () => {
    const existing = new Set(await listTests())
    expect(existing.size).to.be.greaterThan(0)
    expect(listNamedTests(FAULT_MATRIX).filter(title => !existing.has(title))).to.deep.equal([])
  })

  it('matches docs/fault-matrix.md, guarding against a page that differs from the code', () => {
    const page = readFileSync(fileURLToPath(new URL('../../../../docs/fault-matrix.md', import.meta.url)), 'utf8')
    expect(page === renderMatrix(FAULT_MATRIX), 'run node packages/testbed/dist/programs/faultMatrix.js').to.equal(true)
  })

  it('has no rule that applies to no cell', () => {
    expect(findUnusedRules(FAULT_MATRIX.rules)).to.deep.equal([])
    expect(findUnusedPairRules(FAULT_MATRIX.pairRules)).to.deep.equal([])
  })

  it('applies the first matching rule and leaves other cells not proved', () => {
    const rules: MatrixRule[] = [
      { invariants: ['at-most-once'], faults: ['target-killed'], steps: ['wait'], cell: { kind: 'test', titles: ['a'] } },
      { faults: ['target-killed'], cell: { kind: 'impossible', reason: 'b' } }
    ]
    expect(findCell(rules, 'at-most-once', 'target-killed', 'wait')).to.deep.equal({ kind: 'test', titles: ['a'] })
    expect(findCell(rules, 'at-most-once', 'target-killed', 'queue')).to.include({ kind: 'impossible' })
    expect(findCell(rules, 'at-most-once', 'store-down', 'wait')).to.deep.equal({ kind: 'not-proved' })
    expect(findUnusedRules([...rules, { ...rules[0] as MatrixRule }])).to.have.length(1)
  })

  it('matches pairs of faults in either order', () => {
    const rules = [{ first: ['store-down' as const], second: ['instance-killed' as const], cell: { kind: 'test' as const, titles: ['a'] } }]
    expect(findPairCell(rules, 'at-most-once', 'instance-killed', 'store-down').kind).to.equal('test')
    expect(findPairCell(rules, 'at-most-once', 'instance-killed', 'target-killed').kind).to.equal('not-proved')
  })
})
