import type { Result } from 'true-myth'
import type { EventLog, Service } from '@carobpitch/kernel'
import { Backoff } from '../backoff.js'
import type { Membership } from '../detection/Membership.js'
import { shuffle, type RandomSource } from '../random.js'
import type { Registry } from './Registry.js'

const START_JITTER_MS = 500
/** A second snapshot covers members that were missing in the first one. */
const SNAPSHOTS_MAX = 2
const PEER_ATTEMPTS_MAX = 6
/** Hints are read at this interval, so that groups that started separately, for example in a store outage, find each other. */
const HINT_REFRESH_INTERVAL_MS = 30_000

/**
 * Options of `JoinProcess`.
 * @public
 */
export interface JoinProcessOptions {
  membership: Membership
  registry: Registry
  /** Peer URLs from the settings. */
  seedPeerUrls?: readonly string[]
  /** Reads the list of instances that the platform provides. */
  readInstanceList?: () => Promise<Result<string[], { reason: string }>>
  log: EventLog
  /** Longest delay before the first attempt. Spreads the load of a mass restart. */
  startJitterMs?: number
  random?: RandomSource
}

/**
 * Progress of an instance in joining.
 *
 * - `joining`: neither the store nor a peer has responded.
 * - `alone`: the store responded, but no other member could be reached.
 * - `joined`: a peer has responded.
 * @public
 */
export type JoinState = 'joining' | 'alone' | 'joined'

/**
 * Finds the other members at the start through the registry, the seeds and the platform's list, whichever respond.
 * Afterwards it periodically reads the hints, which are peer URLs from the seeds and the platform's list, and contacts
 * those that belong to no known member.
 * @public
 */
export class JoinProcess implements Service {
  private readonly options: Required<Omit<JoinProcessOptions, 'readInstanceList'>> & Pick<JoinProcessOptions, 'readInstanceList'>
  private readonly backoff: Backoff
  private timer: NodeJS.Timeout | undefined
  private state: JoinState = 'joining'
  private isRunning = false
  private hints: readonly string[] = []

  constructor (options: JoinProcessOptions) {
    this.options = { seedPeerUrls: [], startJitterMs: START_JITTER_MS, random: Math.random, ...options }
    this.backoff = new Backoff({ random: this.options.random, memberCount: () => options.membership.knownMembers().length })
  }

  /** Starts joining in the background, because the store and all peers may be down. */
  async start (): Promise<void> {
    this.isRunning = true
    this.schedule(this.options.random() * this.options.startJitterMs)
  }

  async stop (): Promise<void> {
    this.isRunning = false
    clearTimeout(this.timer)
  }

  /** Current progress of this instance. */
  joinState (): JoinState {
    return this.state
  }

  dump (): unknown {
    return { state: this.state, seeds: this.options.seedPeerUrls, hints: this.hints }
  }

  private schedule (delayMs: number): void {
    if (!this.isRunning) return
    this.timer = setTimeout(() => { this.run() }, delayMs)
  }

  private async run (): Promise<void> {
    if (this.state === 'joining') {
      await this.join()
    } else {
      await this.refreshHints()
      await this.tryPeers(this.unknownHints())
    }
    const isJoining = this.joinState() === 'joining'
    this.schedule(isJoining ? this.backoff.nextDelayMs() : HINT_REFRESH_INTERVAL_MS * (0.5 + this.options.random()))
  }

  private async join (): Promise<void> {
    const [hasRead] = await Promise.all([this.options.registry.read(), this.refreshHints()])
    if (!this.isRunning) return
    const registered = this.options.membership.knownMembers().map(({ peerUrl }) => peerUrl)
    const reached = await this.tryPeers([...registered, ...this.unknownHints()])
    if (!this.isRunning) return
    if (reached > 0) this.state = 'joined'
    else if (hasRead) this.state = 'alone'
    if (this.state !== 'joining') {
      this.options.log.info('membership.joined', { state: this.state, members: this.options.membership.members().length, storeAnswered: hasRead })
    }
  }

  private async refreshHints (): Promise<void> {
    const list = await this.options.readInstanceList?.()
    if (list?.isErr === true) this.options.log.debug('instance-list.failed', { reason: list.error.reason })
    this.hints = [...new Set([...this.options.seedPeerUrls, ...(list?.isOk === true ? list.value : [])])]
  }

  private unknownHints (): string[] {
    const known = new Set(this.options.membership.knownMembers().map(({ peerUrl }) => peerUrl))
    return this.hints.filter(url => !known.has(url))
  }

  /** Pulls snapshots from a few peers in random order. Returns how many responded. */
  private async tryPeers (urls: readonly string[]): Promise<number> {
    const { membership, random } = this.options
    const ownUrl = membership.self().peerUrl
    const candidates = shuffle([...new Set(urls)].filter(url => url !== ownUrl), random).slice(0, PEER_ATTEMPTS_MAX)
    let reached = 0
    for (const url of candidates) {
      if (!this.isRunning || reached >= SNAPSHOTS_MAX) break
      if (await membership.joinThrough(url)) reached += 1
    }
    return reached
  }
}
