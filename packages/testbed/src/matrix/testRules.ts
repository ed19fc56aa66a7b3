import type { MatrixRule } from './MatrixRule.js'

/**
 * Cells that are proved by a test.
 * @internal
 */
export const TEST_RULES: readonly MatrixRule[] = []
