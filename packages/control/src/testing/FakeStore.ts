/** In-memory `KeyValueStore` with fault injection, for tests on a fake clock. */
import { Result } from 'true-myth'
import type { KeyValueStore, Lease, RevisionReader, StoredValue, StoreFailure, CompareAndSwapOptions, CompareAndSwapOutcome, Watch, WatchListener } from '@carobpitch/store'

/** Faults to inject. A counter applies to that many of the next writes. @internal */
export interface FakeStoreFaults {
  /** Every call fails as if the connection was refused. */
  down: boolean
  /** Delay before each response; above `timeoutMs` the response is lost. */
  delayMs: number
  /** Number of the next writes of the configuration that take effect but whose response is lost. */
  loseAnswers: number
  /** Number of the next writes of the configuration that are lost before they take effect; to the client this looks like a lost response. */
  loseRequests: number
  /** Number of the next writes of the configuration that take effect `LATE_WRITE_DELAY_MS` after the client received a failure. */
  lateRequests: number
  /** Number of the next writes of other keys that take effect but whose response is lost. */
  losePlanAnswers: number
  /** Reads return the previous value of each key that has one. */
  stale: boolean
}

const LATE_WRITE_DELAY_MS = 3_000

interface Watcher {
  prefix: string
  listener: WatchListener
}

/** In-memory `KeyValueStore` with fault injection and call counters. @internal */
export class FakeStore implements KeyValueStore, RevisionReader {
  readonly faults: FakeStoreFaults = { down: false, delayMs: 0, loseAnswers: 0, loseRequests: 0, lateRequests: 0, losePlanAnswers: 0, stale: false }
  /** Runs before each write takes effect, so that a test can make a competing write or inject a fault at this step. */
  beforeSwap: (options: CompareAndSwapOptions) => void = () => {}
  /** Runs after each write has taken effect and before its response. */
  afterSwap: (options: CompareAndSwapOptions) => void = () => {}
  calls = 0
  /** Number of reads of a whole value, in contrast to reads of a revision only. */
  valueReads = 0
  private readonly values = new Map<string, StoredValue>()
  private readonly previous = new Map<string, StoredValue>()
  private readonly leases = new Map<string, string[]>()
  private readonly watchers = new Set<Watcher>()
  private revision = 1
  private readonly timeoutMs = 1_000

  async get (key: string): Promise<Result<StoredValue | undefined, StoreFailure>> {
    return await this.answer(() => {
      this.valueReads += 1
      return this.readValue(key)
    })
  }

  async getModRevision (key: string): Promise<Result<number, StoreFailure>> {
    return await this.answer(() => this.readValue(key)?.modRevision ?? 0)
  }

  async list (prefix: string): Promise<Result<StoredValue[], StoreFailure>> {
    return await this.answer(() => [...this.values.values()].filter(({ key }) => key.startsWith(prefix)))
  }

  async compareAndSwap (options: CompareAndSwapOptions): Promise<Result<CompareAndSwapOutcome, StoreFailure>> {
    return await this.answer(() => this.swap(options), options.key.endsWith('/configuration') ? 'configuration' : 'plan')
  }

  async grantLease (ttlMs: number): Promise<Result<Lease, StoreFailure>> {
    return await this.answer(() => {
      const leaseId = String(this.leases.size + 1)
      this.leases.set(leaseId, [])
      setTimeout(() => this.expire(leaseId), ttlMs)
      return { leaseId, ttlMs }
    })
  }

  async renewLease (leaseId: string): Promise<Result<Lease, StoreFailure>> {
    return await this.answer(() => ({ leaseId, ttlMs: 0 }))
  }

  async revokeLease (leaseId: string): Promise<Result<void, StoreFailure>> {
    return await this.answer(() => this.expire(leaseId))
  }

  watch (prefix: string, listener: WatchListener): Watch {
    const watcher = { prefix, listener }
    if (this.faults.down) {
      setTimeout(() => listener.onEnd('connection refused'), 0)
      return { close: () => {} }
    }
    this.watchers.add(watcher)
    return { close: () => this.watchers.delete(watcher) }
  }

  /** Makes the store unavailable or available; open watches end when it becomes unavailable. */
  setDown (down: boolean): void {
    this.faults.down = down
    if (!down) return
    for (const { listener } of this.watchers) listener.onEnd('store down')
    this.watchers.clear()
  }

  /** Writes a value regardless of its revision. */
  put (key: string, value: string): void {
    this.write({ key, value, expectedModRevision: this.values.get(key)?.modRevision ?? 0 })
  }

  /** Deletes a key. */
  remove (key: string): void {
    this.values.delete(key)
  }

  /** Returns the value of a key regardless of faults. */
  peek (key: string): string | undefined {
    return this.values.get(key)?.value
  }

  private readValue (key: string): StoredValue | undefined {
    return (this.faults.stale ? this.previous.get(key) : undefined) ?? this.values.get(key)
  }

  private async answer<Value> (apply: () => Value, write?: 'configuration' | 'plan'): Promise<Result<Value, StoreFailure>> {
    this.calls += 1
    if (this.faults.down) return Result.err({ effect: 'none', reason: 'connection refused' })
    if (write === 'configuration' && this.faults.loseRequests > 0) {
      this.faults.loseRequests -= 1
      return Result.err({ effect: 'unknown', reason: 'connection reset' })
    }
    if (write === 'configuration' && this.faults.lateRequests > 0) {
      this.faults.lateRequests -= 1
      setTimeout(apply, LATE_WRITE_DELAY_MS)
      return Result.err({ effect: 'unknown', reason: 'connection reset' })
    }
    const value = apply()
    const { delayMs } = this.faults
    if (delayMs > 0) await new Promise(resolve => setTimeout(resolve, Math.min(delayMs, this.timeoutMs)))
    if (delayMs > this.timeoutMs) return Result.err({ effect: 'unknown', reason: 'timeout' })
    if (write === 'configuration' && this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1
      return Result.err({ effect: 'unknown', reason: 'connection reset' })
    }
    if (write === 'plan' && this.faults.losePlanAnswers > 0) {
      this.faults.losePlanAnswers -= 1
      return Result.err({ effect: 'unknown', reason: 'connection reset' })
    }
    return Result.ok(value)
  }

  private swap (options: CompareAndSwapOptions): CompareAndSwapOutcome {
    this.beforeSwap(options)
    const current = this.values.get(options.key)
    if ((current?.modRevision ?? 0) !== options.expectedModRevision) return { kind: 'conflict', current }
    this.write(options)
    this.afterSwap(options)
    return { kind: 'swapped', modRevision: this.revision }
  }

  private write ({ key, value, leaseId }: CompareAndSwapOptions): void {
    this.revision += 1
    const current = this.values.get(key)
    if (current !== undefined) this.previous.set(key, current)
    if (value === undefined) {
      this.values.delete(key)
      return
    }
    const stored = { key, value, modRevision: this.revision }
    this.values.set(key, stored)
    if (leaseId !== undefined) this.leases.get(leaseId)?.push(key)
    for (const { prefix, listener } of this.watchers) {
      if (key.startsWith(prefix)) queueMicrotask(() => listener.onEvent({ kind: 'put', value: stored }))
    }
  }

  private expire (leaseId: string): void {
    for (const key of this.leases.get(leaseId) ?? []) this.values.delete(key)
    this.leases.delete(leaseId)
  }
}
