/** Times of the instance lease. They grow with the member count, so that the renewal rate of the whole fleet stays constant. */

const RENEWAL_INTERVAL_MIN_MS = 3_000
/** Five renewals per second for the whole fleet. */
const RENEWAL_INTERVAL_PER_MEMBER_MS = 200
const LEASE_MIN_MS = 10_000
const RENEWALS_PER_LEASE = 3

/** Time between two renewals of one instance. @public */
export function renewalIntervalMs (memberCount: number): number {
  return Math.max(RENEWAL_INTERVAL_MIN_MS, memberCount * RENEWAL_INTERVAL_PER_MEMBER_MS)
}

/** Time to live of the lease. Two consecutive renewals can fail without losing it. @public */
export function leaseTtlMs (memberCount: number): number {
  return Math.max(LEASE_MIN_MS, renewalIntervalMs(memberCount) * RENEWALS_PER_LEASE)
}
