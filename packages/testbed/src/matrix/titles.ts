/** Prefixes of test titles: the `describe` blocks of the tests that the matrix names. */

/** Tests of real processes in this package. @internal */
export const REAL_TARGET = 'one real instance between callers and faulty targets keeps every check at zero when'
/** Tests of real processes in this package. @internal */
export const REAL_INSTANCE = 'real instances under bookings'
/** Tests of real processes in this package. @internal */
export const REAL_CHANGE = 'changes of a real fleet under bookings'
/** Tests of real processes in this package. @internal */
export const REAL_STOP = 'a real fleet under bookings with instances that stop or freeze'
/** Tests of real processes in this package. @internal */
export const REAL_COLD = 'a real fleet under bookings with cold targets never gives them more than they bear'
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
