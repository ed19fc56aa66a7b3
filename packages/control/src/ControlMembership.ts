import type { InstanceId, MemberRecord, MembershipSource } from '@carobpitch/schema'

/**
 * A small value that each ping and its response carry.
 * @public
 */
export interface ControlPiggyback {
  /** Returns the JSON-serializable value to send. */
  provide(): unknown
  /** Validates and processes the value that a member sent. */
  receive(from: InstanceId, value: unknown): void
}

/**
 * Membership operations that the control plane uses.
 * @public
 */
export interface ControlMembership extends MembershipSource {
  /** Members that count for majorities, including this instance and members that do not respond. */
  knownMembers(): readonly MemberRecord[]
  /** Whether this instance is currently a store reader, which polls the store for the others. */
  isStoreReader(): boolean
  addPiggyback(name: string, piggyback: ControlPiggyback): void
}

/**
 * Operations of the freshness check, which stops new work while the configuration may be outdated.
 * @public
 */
export interface ControlFreshness {
  /** Records that the configuration was current at the start of a store read, in monotonic time. */
  recordStoreRead(startedAtMs: number): void
  /** Whether this instance may accept new work. */
  mayAcceptNewWork(): boolean
}
