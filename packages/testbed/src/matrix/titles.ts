/** Prefixes of test titles: the `describe` blocks of the tests that the matrix names. */

/** Tests of real processes in this package. @internal */
export const REAL_TARGET = 'one instance process between callers and faulty targets passes every check when'
/** Tests of real processes in this package. @internal */
export const REAL_INSTANCE = 'instance processes under booking load'
/** Tests of real processes in this package. @internal */
export const REAL_CHANGE = 'configuration changes in a fleet under booking load'
/** Tests of real processes in this package. @internal */
export const REAL_STOP = 'a fleet under booking load with instances that stop or freeze'
/** Tests of real processes in this package. @internal */
export const REAL_COLD = 'a fleet under booking load with cold targets never exceeds their allowance'
/** Tests of control. @internal */
export const COMMIT = 'committing a change'
/** Tests of membership. @internal */
export const CLAIMS = 'ColdClaims when the'

/** Titles of a test of real processes that runs with a booking and with a read. @internal */
export function bothMethods (condition: string): string[] {
  return ['POST', 'GET'].map(method => `${REAL_TARGET} ${condition} ${method}`)
}

/** Titles of the tests that cut the connection to a target. @internal */
export function cutAt (...points: string[]): string[] {
  return points.flatMap(point => bothMethods(`the connection to the target is cut at ${point} of a`))
}
