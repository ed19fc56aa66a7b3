/** Prefixes of test titles: the `describe` blocks of the tests that the matrix names. */

/** Tests of one instance process with faulty targets (this package). @internal */
export const TARGET_FAULT_TESTS = 'one instance process between callers and faulty targets passes every check when'
/** Tests of instance processes under faults (this package). @internal */
export const INSTANCE_FAULT_TESTS = 'instance processes under booking load'
/** Tests of configuration changes in a fleet of instance processes (this package). @internal */
export const CHANGE_FAULT_TESTS = 'configuration changes in a fleet under booking load'
/** Tests of planned stops and frozen processes in a fleet (this package). @internal */
export const STOP_AND_FREEZE_TESTS = 'a fleet under booking load with instances that stop or freeze'
/** Tests of cold targets in a fleet (this package). @internal */
export const COLD_TARGET_TESTS = 'a fleet under booking load with cold targets never exceeds their allowance'
/** Tests of committing a configuration change (control package). @internal */
export const COMMIT_TESTS = 'committing a change'
/** Tests of the claims on cold targets (membership package). @internal */
export const CLAIM_TESTS = 'ColdClaims when the'

/** Titles of a target fault test that runs with a booking (`POST`) and with a read (`GET`). @internal */
export function listTitlesForBothMethods (condition: string): string[] {
  return ['POST', 'GET'].map(method => `${TARGET_FAULT_TESTS} ${condition} ${method}`)
}

/** Titles of the tests that cut the connection to a target. @internal */
export function listConnectionCutTitles (...points: string[]): string[] {
  return points.flatMap(point => listTitlesForBothMethods(`the connection to the target is cut at ${point} of a`))
}
