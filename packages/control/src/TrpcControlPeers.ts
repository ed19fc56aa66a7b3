import type { TRPCClient } from '@trpc/client'
import { Result } from 'true-myth'
import type { MemberRecord, ServiceLoad } from '@carobpitch/schema'
import type { Announcement, AnnouncementResponse, AttemptId } from './Announcement.js'
import type { ControlPeerRouter } from './controlPeerRouter.js'
import { PEER_CALL_TIMEOUT_MS, type ConfigurationSnapshot, type ControlPeers, type PeerFailure, type PushResponse } from './ControlPeers.js'

/** tRPC client of another instance's control router. @public */
export type ControlPeerClient = TRPCClient<ControlPeerRouter>

/** Options of `TrpcControlPeers`. @public */
export interface TrpcControlPeersOptions {
  /** Returns the client of a member, such as `PeerLinks.client(member, 'control')`. */
  clientOf: (member: MemberRecord) => ControlPeerClient
  timeoutMs?: number
}

/**
 * Calls other instances over tRPC, with a timeout for each call.
 * @public
 */
export class TrpcControlPeers implements ControlPeers {
  private readonly clientOf: (member: MemberRecord) => ControlPeerClient
  private readonly timeoutMs: number

  constructor ({ clientOf, timeoutMs = PEER_CALL_TIMEOUT_MS }: TrpcControlPeersOptions) {
    this.clientOf = clientOf
    this.timeoutMs = timeoutMs
  }

  async announce (member: MemberRecord, announcement: Announcement): Promise<Result<AnnouncementResponse, PeerFailure>> {
    return await this.call(signal => this.clientOf(member).announce.mutate(announcement, { signal }))
  }

  async abort (member: MemberRecord, attemptId: AttemptId): Promise<Result<void, PeerFailure>> {
    return await this.call(signal => this.clientOf(member).abort.mutate({ attemptId }, { signal }))
  }

  async pushConfiguration (member: MemberRecord, value: string): Promise<Result<PushResponse, PeerFailure>> {
    return await this.call(signal => this.clientOf(member).pushConfiguration.mutate({ value }, { signal }))
  }

  async snapshot (member: MemberRecord): Promise<Result<ConfigurationSnapshot, PeerFailure>> {
    return await this.call(signal => this.clientOf(member).snapshot.query(undefined, { signal }))
  }

  async load (member: MemberRecord): Promise<Result<ServiceLoad[], PeerFailure>> {
    return await this.call(signal => this.clientOf(member).load.query(undefined, { signal }))
  }

  private async call<Value> (sendRequest: (signal: AbortSignal) => Promise<Value>): Promise<Result<Value, PeerFailure>> {
    const controller = new AbortController()
    const timer = setTimeout(() => controller.abort(), this.timeoutMs)
    try {
      return Result.ok(await sendRequest(controller.signal))
    } catch (error) {
      const reason = controller.signal.aborted ? `no answer within ${this.timeoutMs} ms` : (error as Error).message
      return Result.err({ reason })
    } finally {
      clearTimeout(timer)
    }
  }
}
