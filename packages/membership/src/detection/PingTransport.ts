import type { Result } from 'true-myth'
import type { IndirectPing, MembershipSnapshot, PingMessage } from './messages.js'

/**
 * A failed exchange with a peer.
 * @public
 */
export interface PeerFailure {
  reason: string
}

/**
 * Sends the messages of the failure detector to other members. The daemon uses trpc; tests use an in-memory network.
 * @public
 */
export interface PingTransport {
  ping(peerUrl: string, message: PingMessage): Promise<Result<PingMessage, PeerFailure>>
  /** Asks a member to ping another one. Resolves to whether the other one responded. */
  indirectPing(peerUrl: string, request: IndirectPing): Promise<Result<boolean, PeerFailure>>
  snapshot(peerUrl: string): Promise<Result<MembershipSnapshot, PeerFailure>>
}

/**
 * Handles the messages of the failure detector from other members.
 * @public
 */
export interface PingHandler {
  handlePing(message: PingMessage): PingMessage
  handleIndirectPing(request: IndirectPing): Promise<boolean>
  snapshot(): MembershipSnapshot
}
