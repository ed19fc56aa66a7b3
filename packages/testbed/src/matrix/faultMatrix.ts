import { IMPOSSIBLE_RULES } from './impossibleRules.js'
import { PAIR_RULES } from './pairRules.js'
import type { FaultMatrix } from './renderMatrix.js'
import { TEST_RULES } from './testRules.js'

/** The fault matrix of this repository. Tests come first, so that a test takes precedence over a stated reason. @public */
export const FAULT_MATRIX: FaultMatrix = {
  rules: [...TEST_RULES, ...IMPOSSIBLE_RULES],
  pairRules: PAIR_RULES
}
