import { FAULTS, INVARIANTS, STEPS, type Fault, type Invariant, type Step } from './dimensions.js'

/**
 * State of a cell.
 *
 * - `test`: the named tests cause the fault at the step and fail when the invariant is violated.
 * - `impossible`: the fault cannot violate the invariant at the step, for the given reason.
 * - `not-proved`: there is neither a test nor a reason.
 * @public
 */
export type Cell =
  | { kind: 'test', titles: readonly string[] }
  | { kind: 'impossible', reason: string }
  | { kind: 'not-proved' }

/**
 * Sets the cell for every combination of the given values. An absent dimension matches all its values.
 * @public
 */
export interface MatrixRule {
  invariants?: readonly Invariant[]
  faults?: readonly Fault[]
  steps?: readonly Step[]
  cell: Exclude<Cell, { kind: 'not-proved' }>
}

/**
 * Sets the cell for pairs of simultaneous faults: one of `first` with one of `second`, in either order.
 * @public
 */
export interface PairRule {
  invariants?: readonly Invariant[]
  first: readonly Fault[]
  second?: readonly Fault[]
  cell: Exclude<Cell, { kind: 'not-proved' }>
}

const NOT_PROVED: Cell = { kind: 'not-proved' }

/** Finds the cell of a fault at a step. The first matching rule applies. @public */
export function findCell (rules: readonly MatrixRule[], invariant: Invariant, fault: Fault, step: Step): Cell {
  return rules.find(rule => matches(rule, invariant, fault, step))?.cell ?? NOT_PROVED
}

/** Finds the cell of a pair of faults. The first matching rule applies. @public */
export function findPairCell (rules: readonly PairRule[], invariant: Invariant, one: Fault, other: Fault): Cell {
  return rules.find(rule => matchesPair(rule, invariant, one, other))?.cell ?? NOT_PROVED
}

/** Returns rules that apply to no cell, because they match none or an earlier rule matches each of their cells. @public */
export function findUnusedRules (rules: readonly MatrixRule[]): MatrixRule[] {
  const unused = new Set(rules)
  for (const invariant of INVARIANTS) {
    for (const fault of FAULTS) {
      for (const step of STEPS) {
        const used = rules.find(rule => matches(rule, invariant, fault, step))
        if (used !== undefined) unused.delete(used)
      }
    }
  }
  return [...unused]
}

/** Returns pair rules that apply to no cell. @public */
export function findUnusedPairRules (rules: readonly PairRule[]): PairRule[] {
  const unused = new Set(rules)
  for (const invariant of INVARIANTS) {
    for (const [one, other] of faultPairs()) {
      const used = rules.find(rule => matchesPair(rule, invariant, one, other))
      if (used !== undefined) unused.delete(used)
    }
  }
  return [...unused]
}

/** Returns all pairs of two different faults. @public */
export function faultPairs (): Array<[Fault, Fault]> {
  return FAULTS.flatMap((one, index) => FAULTS.slice(index + 1).map((other): [Fault, Fault] => [one, other]))
}

function matches ({ invariants, faults, steps }: MatrixRule, invariant: Invariant, fault: Fault, step: Step): boolean {
  return includes(invariants, invariant) && includes(faults, fault) && includes(steps, step)
}

function matchesPair ({ invariants, first, second }: PairRule, invariant: Invariant, one: Fault, other: Fault): boolean {
  if (!includes(invariants, invariant)) return false
  return (first.includes(one) && includes(second, other)) || (first.includes(other) && includes(second, one))
}

function includes<Value> (allowed: readonly Value[] | undefined, value: Value): boolean {
  return allowed === undefined || allowed.includes(value)
}
