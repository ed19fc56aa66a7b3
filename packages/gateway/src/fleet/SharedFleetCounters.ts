import type { EventLog, Service } from '@carobpitch/kernel'
import type { InstanceId } from '@carobpitch/schema'
import { CounterRows, RowsMirror, sizeBytesOf, type RowsCursor, type RowsDelta } from './CounterRows.js'
import type { FleetCounters } from './FleetCounters.js'
import type { ExchangeWithPeer, FleetExchangeRequest, FleetExchangeResponse } from './FleetExchange.js'
import type { FleetGrowth } from './FleetGrowth.js'
import type { ExchangePeers } from './selectExchangePeers.js'

const INTERVAL_MS = 250
/** Instances up to which the interval holds; beyond, it grows in proportion, so that readers encode fewer messages. */
const INSTANCES_AT_INTERVAL = 400
/** Exchanges that a reader begins per interval, so that counters pass through several readers about as fast as through one. */
const READER_EXCHANGES_PER_INTERVAL = 2
/** Share of the interval by which it varies, so that instances don't call all at once. */
const JITTER = 0.2
/** An instance without changes tells that it is alive at every second exchange. */
const BEATS_PER_SIGN_OF_LIFE = 2
/** Intervals after which a row without changes is taken for one that is cut off: two signs of life over three links. */
const INTERVALS_UNTIL_STALE = 5
/** Samples of the counters, one an interval, over which rates are taken: about 1.5 s. */
const SAMPLES = 6
const RATE_WINDOW_MIN_MS = 1_000
/** Intervals after a pause of the exchange in which the growth of the pause arrives, which is that of no rate. */
const INTERVALS_UNTIL_RESUMED = 4
/** Time for which the rows of instances that are gone stay in the totals. */
const ROW_RETENTION_MS = 600_000
/** Failures in a row after which another peer is tried. A new peer needs all rows once, which many instances must not ask of it for one late response. */
const FAILURES_UNTIL_MOVED = 2
/** Longest pause after failures, in intervals. */
const PAUSE_INTERVALS_MAX = 8
/** Time after which a peer that preceded the present one is tried again. */
const PREFERENCE_RETRY_MS = 5_000
/** Time after which the tables of a peer that doesn't call any more are dropped. */
const MIRROR_RETENTION_MS = 60_000

const NO_CURSOR: RowsCursor = { epoch: 0, names: 0, rows: 0, position: 0 }

/**
 * Figures on the exchange of counters.
 * @public
 */
export interface FleetStats {
  rows: number
  instances: number
  ageMs: number
  exchanges: number
  failures: number
  /** Size of the messages sent, before compression. */
  sentBytes: number
}

/**
 * Options of `SharedFleetCounters`.
 * @public
 */
export interface SharedFleetCountersOptions {
  instanceId: InstanceId
  /** Rises with each start of this instance. */
  incarnation: number
  /** Whether something in force reads the counters; otherwise nothing is sent. */
  isNeeded: () => boolean
  /** Peers that are called in each interval. */
  peers: () => ExchangePeers
  exchange: ExchangeWithPeer
  /** Number of instances that are registered. */
  memberCount: () => number
  log: EventLog
  random?: () => number
}

/** Link to one of a list of peers. */
interface ExchangeLink {
  candidates: readonly string[]
  index: number
  movedAtMs: number
  isBusy: boolean
  hasFailed: boolean
  /** Failures since the last response. */
  failures: number
  pausedUntilMs: number
}

/** What is known of a peer that this instance calls, or that calls it. */
interface PeerState {
  mirror: RowsMirror
  /** What the peer has of this instance's rows. */
  cursor: RowsCursor
  usedAtMs: number
}

/**
 * Fleet counters that travel from instance to instance in short intervals, over the readers of each failure domain. Nothing waits for an
 * exchange: what is known is read from memory, with its age.
 * @public
 */
export class SharedFleetCounters implements FleetCounters, FleetGrowth, Service {
  private readonly options: Required<SharedFleetCountersOptions>
  private readonly rows: CounterRows
  private readonly links = new Map<string, ExchangeLink>()
  private readonly peersByUrl = new Map<string, PeerState>()
  private readonly callers = new Map<InstanceId, PeerState>()
  private readonly listeners = new Set<() => void>()
  private samples: Array<{ atMs: number, growth: number[] }> = []
  private timer: NodeJS.Timeout | undefined
  private refreshedAtMs = -Infinity
  private aliveCount = 1
  private beats = 0
  private beatAtMs = -Infinity
  private resumedAtMs = -Infinity
  private exchanges = 0
  private failures = 0
  private sentBytes = 0

  constructor (options: SharedFleetCountersOptions) {
    const { instanceId, incarnation, log } = options
    this.options = { random: Math.random, ...options }
    this.rows = new CounterRows({ instanceId, incarnation, onFull: name => log.warn('fleet.counters-full', { firstName: name, counters: this.rows.nameCount() }) })
  }

  async start (): Promise<void> {
    this.schedule()
  }

  async stop (): Promise<void> {
    clearTimeout(this.timer)
    this.timer = undefined
  }

  add (name: string, amount: number): void {
    this.rows.add(name, amount)
  }

  total (name: string): number {
    return this.rows.total(name)
  }

  growth (name: string): number {
    return this.rows.growth(name)
  }

  ratePerS (name: string): number {
    const index = this.rows.indexOfKnown(name)
    const [oldest] = this.samples
    if (index === undefined || oldest === undefined) return 0
    // The first requests after a start would otherwise seem to be many.
    const elapsedMs = Math.max(RATE_WINDOW_MIN_MS, performance.now() - oldest.atMs)
    return (this.rows.growth(name) - (oldest.growth[index] ?? 0)) * 1_000 / elapsedMs
  }

  ageMs (): number {
    return performance.now() - this.refreshedAtMs
  }

  instanceCount (): number {
    return this.aliveCount
  }

  /** Time between two exchanges in a fleet of the present size. */
  intervalMs (): number {
    return INTERVAL_MS * Math.max(1, this.options.memberCount() / INSTANCES_AT_INTERVAL)
  }

  onRefresh (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Answers another instance that exchanges with this one. */
  serve ({ from, cursor, delta }: FleetExchangeRequest): FleetExchangeResponse {
    const state = this.callers.get(from) ?? { mirror: new RowsMirror(), cursor, usedAtMs: 0 }
    this.callers.set(from, state)
    state.usedAtMs = performance.now()
    this.receive(delta, state)
    return { cursor: state.mirror.cursor(), delta: this.deltaFor(cursor, state.mirror) }
  }

  dump (): unknown {
    const now = performance.now()
    return {
      ageMs: Math.round(this.ageMs()),
      instances: this.aliveCount,
      counters: this.rows.nameCount(),
      exchanges: this.exchanges,
      failures: this.failures,
      links: [...this.links.values()].map(({ candidates, index, hasFailed }) => ({ peerUrl: candidates[index], hasFailed })),
      rows: this.rows.all().map(({ instanceId, incarnation, sequence, refreshedAtMs }) => ({ instanceId, incarnation, sequence, ageMs: Math.round(now - refreshedAtMs) }))
    }
  }

  /** Figures for metrics. */
  stats (): FleetStats {
    const { exchanges, failures, sentBytes } = this
    return { rows: this.rows.all().length, instances: this.aliveCount, ageMs: this.ageMs(), exchanges, failures, sentBytes }
  }

  private schedule (): void {
    const perInterval = this.options.peers().isReader ? READER_EXCHANGES_PER_INTERVAL : 1
    const waitMs = this.intervalMs() / perInterval * (1 + JITTER * (this.options.random() - 0.5))
    this.timer = setTimeout(() => {
      if (this.options.isNeeded()) this.exchangeWithPeers()
      this.schedule()
    }, waitMs).unref()
  }

  private exchangeWithPeers (): void {
    const now = performance.now()
    const hasPaused = Number.isFinite(this.beatAtMs) && now - this.beatAtMs > INTERVALS_UNTIL_STALE * this.intervalMs()
    if (hasPaused) this.resume(now)
    if (now - this.beatAtMs >= this.intervalMs() * (1 - JITTER)) this.beat(now)
    this.updateLinks()
    for (const link of this.links.values()) if (!link.isBusy && now >= link.pausedUntilMs) this.exchangeOver(link, now)
  }

  private resume (now: number): void {
    this.resumedAtMs = now
    this.samples = []
  }

  private beat (now: number): void {
    this.beatAtMs = now
    // The first beat is told, so that instances without requests are known as early as others.
    this.rows.beat(now, this.beats % BEATS_PER_SIGN_OF_LIFE === 0)
    this.beats += 1
    if (now - this.resumedAtMs >= INTERVALS_UNTIL_RESUMED * this.intervalMs()) this.samples.push({ atMs: now, growth: this.rows.growthSample() })
    if (this.samples.length > SAMPLES) this.samples.shift()
    const dropped = this.rows.dropUnchangedSince(now - ROW_RETENTION_MS)
    if (dropped > 0) this.options.log.info('fleet.rows-dropped', { rows: dropped })
    for (const peers of [this.peersByUrl, this.callers] as Array<Map<string, PeerState>>) {
      for (const [key, { usedAtMs }] of peers) if (now - usedAtMs > MIRROR_RETENTION_MS) peers.delete(key)
    }
    this.countAlive(now)
    // Time passes for those that read the counters, also when no other instance answers.
    this.notifyListeners()
  }

  private updateLinks (): void {
    const lists = this.options.peers().links.filter(candidates => candidates.length > 0)
    const keys = new Set(lists.map(candidates => candidates.join(' ')))
    for (const key of this.links.keys()) if (!keys.has(key)) this.links.delete(key)
    for (const candidates of lists) {
      const key = candidates.join(' ')
      if (!this.links.has(key)) this.links.set(key, { candidates, index: 0, movedAtMs: 0, isBusy: false, hasFailed: false, failures: 0, pausedUntilMs: 0 })
    }
  }

  private async exchangeOver (link: ExchangeLink, now: number): Promise<void> {
    const { instanceId, exchange, log } = this.options
    if (link.index > 0 && now - link.movedAtMs > PREFERENCE_RETRY_MS) link.index = 0
    const peerUrl = link.candidates[link.index] as string
    const state = this.peersByUrl.get(peerUrl) ?? { mirror: new RowsMirror(), cursor: NO_CURSOR, usedAtMs: now }
    this.peersByUrl.set(peerUrl, state)
    state.usedAtMs = now
    link.isBusy = true
    this.exchanges += 1
    // The rows of others reach a reader from themselves, and a new reader would otherwise get them from each of its followers at once.
    const delta = this.deltaFor(state.cursor, state.mirror, !this.passesRowsOn(now))
    const result = await exchange(peerUrl, { from: instanceId, cursor: state.mirror.cursor(), delta })
    link.isBusy = false
    if (result.isErr) {
      this.failures += 1
      if (!link.hasFailed) log.warn('fleet.exchange-failed', { peerUrl, error: result.error })
      link.hasFailed = true
      this.backOff(link)
      return
    }
    link.failures = 0
    if (link.hasFailed) log.info('fleet.exchange-restored', { peerUrl })
    link.hasFailed = false
    state.cursor = result.value.cursor
    this.receive(result.value.delta, state)
  }

  /** Whether the rows of others pass through this instance: a reader, or a substitute that others exchange with. */
  private passesRowsOn (now: number): boolean {
    if (this.options.peers().isReader) return true
    return [...this.callers.values()].some(({ usedAtMs }) => now - usedAtMs < INTERVALS_UNTIL_STALE * this.intervalMs())
  }

  /** Pauses a link for longer after each failure, and moves it to the next peer. A reader that is late must not get more to do by it. */
  private backOff (link: ExchangeLink): void {
    const now = performance.now()
    link.failures += 1
    link.pausedUntilMs = now + this.intervalMs() * Math.min(PAUSE_INTERVALS_MAX, 2 ** link.failures) * this.options.random()
    if (link.failures % FAILURES_UNTIL_MOVED !== 0) return
    link.index = (link.index + 1) % link.candidates.length
    link.movedAtMs = now
  }

  private deltaFor (cursor: RowsCursor, mirror: RowsMirror, isOwnOnly = false): RowsDelta {
    const delta = this.rows.deltaFor(cursor, mirror, isOwnOnly)
    this.sentBytes += sizeBytesOf(delta)
    return delta
  }

  private receive (delta: RowsDelta, state: PeerState): void {
    const now = performance.now()
    // A peer that has restarted no longer has what came from it.
    if (state.mirror.epoch !== 0 && state.mirror.epoch !== delta.epoch) state.mirror = new RowsMirror()
    this.rows.merge(delta, state.mirror, now)
    this.refreshedAtMs = now
    this.countAlive(now)
    this.notifyListeners()
  }

  /** A listener that fails must not end the exchange. */
  private notifyListeners (): void {
    for (const listener of this.listeners) {
      try {
        listener()
      } catch (error) {
        this.options.log.error('fleet.listener-failed', { reason: (error as Error).message, stack: (error as Error).stack })
      }
    }
  }

  private countAlive (now: number): void {
    const staleMs = INTERVALS_UNTIL_STALE * this.intervalMs()
    const alive = new Set<InstanceId>([this.options.instanceId])
    for (const { instanceId, refreshedAtMs } of this.rows.all()) if (now - refreshedAtMs <= staleMs) alive.add(instanceId)
    this.aliveCount = alive.size
  }
}
