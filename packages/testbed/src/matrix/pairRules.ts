import type { PairRule } from './MatrixRule.js'

/**
 * Pairs of faults at the same moment.
 * @internal
 */
export const PAIR_RULES: readonly PairRule[] = []
