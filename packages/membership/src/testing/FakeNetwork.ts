import { Result } from 'true-myth'
import type { PeerFailure, PingHandler, PingTransport } from '../detection/PingTransport.js'

/**
 * In-memory network between members, for tests with a fake clock. Delivers messages after a delay, and drops
 * those between partitions, over cut links, and from or to frozen members.
 * @internal
 */
export class FakeNetwork {
  readonly delayMs: number
  readonly timeoutMs: number
  messageCount = 0
  private readonly handlers = new Map<string, PingHandler>()
  private readonly groups = new Map<string, number>()
  private readonly frozen = new Set<string>()
  private readonly cutLinks = new Set<string>()

  constructor ({ delayMs = 2, timeoutMs = 400 } = {}) {
    this.delayMs = delayMs
    this.timeoutMs = timeoutMs
  }

  /** Adds a member, whose handler receives the messages to its peer URL. */
  attach (peerUrl: string, handler: PingHandler): void {
    this.handlers.set(peerUrl, handler)
  }

  /** Removes a member, as if it had crashed. */
  detach (peerUrl: string): void {
    this.handlers.delete(peerUrl)
  }

  /** Drops all messages between members of different groups. Without groups, ends the partition. */
  partition (...groups: string[][]): void {
    this.groups.clear()
    groups.forEach((urls, index) => urls.forEach(url => this.groups.set(url, index)))
  }

  /** Drops all messages between two members, in both directions. */
  cutLink (first: string, second: string): void {
    this.cutLinks.add(`${first} ${second}`).add(`${second} ${first}`)
  }

  /** Drops all messages from and to a member without removing it. */
  freeze (peerUrl: string): void {
    this.frozen.add(peerUrl)
  }

  resume (peerUrl: string): void {
    this.frozen.delete(peerUrl)
  }

  /** Returns the transport of one member. */
  transportOf (ownUrl: string): PingTransport {
    return {
      ping: (url, message) => this.deliver(ownUrl, url, async handler => structuredClone(handler.handlePing(structuredClone(message)))),
      indirectPing: (url, request) => this.deliver(ownUrl, url, handler => handler.handleIndirectPing(request), this.timeoutMs * 2),
      snapshot: url => this.deliver(ownUrl, url, async handler => structuredClone(handler.snapshot()))
    }
  }

  private isReachable (from: string, to: string): boolean {
    if (this.frozen.has(to) || this.frozen.has(from) || this.cutLinks.has(`${from} ${to}`)) return false
    return this.handlers.has(to) && this.groups.get(from) === this.groups.get(to)
  }

  private async deliver<Answer> (from: string, to: string, handle: (handler: PingHandler) => Promise<Answer>, timeoutMs = this.timeoutMs): Promise<Result<Answer, PeerFailure>> {
    this.messageCount += 1
    const expired = sleep(timeoutMs).then((): Result<Answer, PeerFailure> => Result.err({ reason: 'timeout' }))
    return Promise.race([expired, this.exchange(from, to, handle)])
  }

  private async exchange<Answer> (from: string, to: string, handle: (handler: PingHandler) => Promise<Answer>): Promise<Result<Answer, PeerFailure>> {
    await sleep(this.delayMs)
    if (!this.isReachable(from, to)) return new Promise(() => {})
    const answer = await handle(this.handlers.get(to) as PingHandler)
    await sleep(this.delayMs)
    if (!this.isReachable(from, to)) return new Promise(() => {})
    return Result.ok(answer)
  }
}

function sleep (delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs))
}
