import { FAULTS, INVARIANTS, STEPS, type Fault, type Invariant } from './dimensions.js'
import { findCell, faultPairs, findPairCell, type Cell, type MatrixRule, type PairRule } from './MatrixRule.js'

/**
 * The whole fault matrix.
 * @public
 */
export interface FaultMatrix {
  rules: readonly MatrixRule[]
  pairRules: readonly PairRule[]
}

interface Counts {
  test: number
  impossible: number
  'not-proved': number
}

/** Numbers footnotes in the order of their first use. */
class Footnotes {
  private readonly numbers = new Map<string, number>()

  constructor (private readonly prefix: string) {}

  reference (note: string): string {
    const number = this.numbers.get(note) ?? this.numbers.size + 1
    this.numbers.set(note, number)
    return `${this.prefix}${number}`
  }

  lines (): string[] {
    return [...this.numbers].map(([note, number]) => `- **${this.prefix}${number}** ${note}`)
  }
}

/** Renders the matrix as the Markdown page `docs/fault-matrix.md`. @public */
export function renderMatrix ({ rules, pairRules }: FaultMatrix): string {
  const tests = new Footnotes('T')
  const reasons = new Footnotes('I')
  const summary: string[] = []
  const sections: string[] = []
  for (const invariant of INVARIANTS) {
    const cells = FAULTS.map(fault => STEPS.map(step => findCell(rules, invariant, fault, step)))
    const pairs = new Map(faultPairs().map(([one, other]) => [`${one} ${other}`, findPairCell(pairRules, invariant, one, other)]))
    summary.push(formatSummaryRow(invariant, countCells(cells.flat()), countCells([...pairs.values()])))
    sections.push(`## ${invariant}`, '', formatStepTable(cells, tests, reasons), '', ...formatPairLines(invariant, pairs, tests, reasons), '')
  }
  return [
    '# Fault matrix', '',
    'This page is generated from `packages/testbed/src/matrix/` by `npx tsc -b && node packages/testbed/dist/programs/faultMatrix.js`. A test fails when the page differs from the code or names a test that does not exist.', '',
    'Rows are faults and columns are steps. A cell holds the tests that prove it (`T`, listed at the end), the reason why the fault cannot violate the invariant at that step (`I`), or `·` when it is not proved.', '',
    '| invariant | proved | impossible | not proved | pairs proved | pairs impossible | pairs not proved |',
    '|---|--:|--:|--:|--:|--:|--:|', ...summary, '',
    ...sections,
    '## Tests', '', ...tests.lines(), '',
    '## Reasons', '', ...reasons.lines(), ''
  ].join('\n')
}

/** Counts cells by kind. @internal */
export function countCells (cells: readonly Cell[]): Counts {
  const counts: Counts = { test: 0, impossible: 0, 'not-proved': 0 }
  for (const { kind } of cells) counts[kind] += 1
  return counts
}

/** Returns the full titles of all tests that the matrix names. @public */
export function listNamedTests ({ rules, pairRules }: FaultMatrix): string[] {
  return [...new Set([...rules, ...pairRules].flatMap(({ cell }) => cell.kind === 'test' ? cell.titles : []))]
}

function formatSummaryRow (invariant: Invariant, steps: Counts, pairs: Counts): string {
  const values = [steps.test, steps.impossible, steps['not-proved'], pairs.test, pairs.impossible, pairs['not-proved']]
  return `| ${invariant} | ${values.join(' | ')} |`
}

function formatStepTable (cells: readonly Cell[][], tests: Footnotes, reasons: Footnotes): string {
  const rows = FAULTS.map((fault, index) => `| ${fault} | ${(cells[index] ?? []).map(cell => formatCell(cell, tests, reasons)).join(' | ')} |`)
  return [`| fault | ${STEPS.join(' | ')} |`, `|---${'|---'.repeat(STEPS.length)}|`, ...rows].join('\n')
}

function formatPairLines (invariant: Invariant, pairs: ReadonlyMap<string, Cell>, tests: Footnotes, reasons: Footnotes): string[] {
  const partners = new Map<string, string[]>()
  for (const [pair, cell] of pairs) {
    if (cell.kind !== 'test') continue
    const [one, other] = pair.split(' ') as [Fault, Fault]
    const found = partners.get(one) ?? []
    partners.set(one, [...found, `${other} ${formatCell(cell, tests, reasons)}`])
  }
  const impossible = [...pairs.values()].filter(cell => cell.kind === 'impossible')
  const lines = [...partners].map(([one, others]) => `- ${one} with ${others.join(', ')}`)
  if (lines.length === 0) lines.push(`No pair of faults at the same moment is proved for ${invariant}.`)
  else lines.unshift('Pairs of faults at the same moment:', '')
  if (impossible.length > 0) {
    const marks = new Set(impossible.map(cell => formatCell(cell, tests, reasons)))
    lines.push('', `${impossible.length} pairs are impossible: ${[...marks].join(', ')}.`)
  }
  return lines
}

function formatCell (cell: Cell, tests: Footnotes, reasons: Footnotes): string {
  switch (cell.kind) {
    case 'test': return cell.titles.map(title => tests.reference(title)).join(' ')
    case 'impossible': return reasons.reference(cell.reason)
    case 'not-proved': return '·'
  }
}
