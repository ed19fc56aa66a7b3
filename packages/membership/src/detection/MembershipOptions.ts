import type { EventLog } from '@carobpitch/kernel'
import type { MemberRecord } from '@carobpitch/schema'
import type { Freshness } from '../freshness/Freshness.js'
import type { RandomSource } from '../random.js'
import type { PingTransport } from './PingTransport.js'

/**
 * Options of `Membership`.
 * @public
 */
export interface MembershipOptions {
  self: MemberRecord
  transport: PingTransport
  freshness: Freshness
  /** Revision of the adopted configuration. */
  adoptedRevision: () => number
  log: EventLog
  random?: RandomSource
}
