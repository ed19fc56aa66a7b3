import type { InstanceId, MemberRecord, MembershipSource } from '@carobpitch/schema'

/**
 * A small value carried on each ping in both directions.
 * @public
 */
export interface ControlPiggyback {
  /** Returns the JSON-serializable value to send. */
  provide(): unknown
  /** Takes the value that a member sent; it is validated here. */
  receive(from: InstanceId, value: unknown): void
}

/**
 * What control needs of the membership.
 * @public
 */
export interface ControlMembership extends MembershipSource {
  /** Members that count for majorities, this instance included. A member that does not answer still counts. */
  knownMembers(): readonly MemberRecord[]
  /** Whether this instance is one of the store readers now. */
  isStoreReader(): boolean
  addPiggyback(name: string, piggyback: ControlPiggyback): void
}

/**
 * What control needs of the freshness gate.
 * @public
 */
export interface ControlFreshness {
  /** Takes note that this instance knows the configuration as of the start of a read, on the monotonic clock. */
  noteStoreRead(startedAtMs: number): void
  /** Whether this instance may accept new work. */
  mayAcceptNewWork(): boolean
}
