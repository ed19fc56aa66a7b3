/**
 * Bounds within which a confirmed change has to be in force at all instances.
 * @public
 */
export interface PropagationBounds {
  /** Time after its confirmation by the store. */
  configApplyMs: number
  /** Time after the end of a disturbance of the store. */
  contactMs: number
}

/**
 * Time of each step between the confirmation of a change by the store and the last instance. The steps of each path together stay
 * below the bounds.
 * @public
 */
export interface PropagationBudget {
  /** Longest wait of a read of changes at the store. */
  storeWaitMs: number
  /** Pause between two reads of changes, which batches changes that come close together into one call. */
  storePauseMs: number
  /** Time for the head of a response of the store. */
  storeResponseMs: number
  /** The same after a failure, because the store may be slow instead of unavailable. */
  storeSlowResponseMs: number
  /** Time for the body of a response of the store after its head. */
  storeTransferMs: number
  /** Delay before the call after a first failure, before jitter of up to 25% in either direction. */
  storeRetryMs: number
  /** Longest delay before a call after several failures, before jitter. */
  storeRetryMaxMs: number
  /** The same while no records are known, when each instance reads the store itself. */
  firstReadRetryMaxMs: number
  /** Time that an instance gives the others to register when it knows none, before jitter of up to 25% in either direction. */
  fleetStartMs: number
  /** Longest wait of a query to a relay. */
  relayWaitMs: number
  /** Time for the head of a relay's response beyond the requested wait. */
  relayResponseMs: number
  /** Pause before the relays are queried again when none of them was recent enough. */
  relayPauseMs: number
  /** Largest accepted age of a relay's cache: one wait at the store, one pause and the response. */
  relayAgeMaxMs: number
  /** Time for a response to pass to a follower once it is known to its relay, and for the follower to apply it. */
  relayHopMs: number
  /** Time for the body of a response after its head. */
  transferMs: number
  /** Interval between own reads of the store while no relay responds. */
  ownReadIntervalMs: number
  /** Longest delay before an instance tries again to renew or obtain its lease, before jitter. */
  leaseRetryMaxMs: number
  /** Time without a confirmation after which any instance is asked for changes. */
  peerQueryAfterMs: number
  /** Interval between own reads while relays respond in several failure domains, but none has reached the store. */
  idleReadIntervalMs: number
}

/** Part of `contact` that the steps may use; the rest covers the delays of timers and processors. */
const CONTACT_SHARE = 5 / 6

/**
 * Divides the bounds among the steps.
 * @public
 */
export function propagationBudget ({ configApplyMs, contactMs }: PropagationBounds): PropagationBudget {
  const boundMs = Math.min(configApplyMs, contactMs * CONTACT_SHARE)
  const share = (fraction: number): number => Math.round(boundMs * fraction)
  return {
    storeWaitMs: share(0.46),
    storePauseMs: share(0.1),
    storeResponseMs: share(0.2),
    storeSlowResponseMs: share(0.38),
    storeTransferMs: share(0.8),
    storeRetryMs: share(0.08),
    storeRetryMaxMs: share(0.25),
    firstReadRetryMaxMs: share(0.5),
    fleetStartMs: share(0.2),
    relayWaitMs: share(0.25),
    relayResponseMs: share(0.12),
    relayPauseMs: share(0.1),
    relayAgeMaxMs: share(0.6),
    relayHopMs: share(0.1),
    transferMs: share(0.5),
    ownReadIntervalMs: share(0.6),
    leaseRetryMaxMs: share(0.4),
    peerQueryAfterMs: share(1),
    idleReadIntervalMs: share(2)
  }
}
