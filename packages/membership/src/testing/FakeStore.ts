import { Result } from 'true-myth'
import type {
  KeyValueStore, Lease, StoredValue, StoreFailure, CompareAndSwapOptions, CompareAndSwapOutcome, Watch, WatchEvent, WatchListener
} from '@carobpitch/store'

interface Entry extends StoredValue {
  leaseId: string | undefined
}

interface FakeLease {
  ttlMs: number
  timer: NodeJS.Timeout
}

/** Kinds of calls that `FakeStore` counts. @internal */
export type FakeCallKind = 'get' | 'list' | 'swap' | 'grant' | 'renew' | 'revoke' | 'watch'

const CALL_TIMEOUT_MS = 1_000

/**
 * In-memory store with fault injection, for tests with a fake clock. Instances share it through the clients that
 * `clientOf` returns, each of which can be cut off separately.
 * @internal
 */
export class FakeStore {
  isDown = false
  delayMs = 1
  /** Delay before a write takes effect. If it exceeds the call timeout, the write takes effect after the call has timed out. */
  delayEffectMs = 0
  /** Number of subsequent writes that take effect but whose responses are lost. */
  loseAnswers = 0
  readonly calls = new Map<FakeCallKind, number>()
  private readonly entries = new Map<string, Entry>()
  private readonly leases = new Map<string, FakeLease>()
  private readonly watches = new Set<{ prefix: string, listener: WatchListener }>()
  private revision = 0
  private leaseCounter = 0

  /** Returns the client of one instance. While `isCut` returns true, the instance cannot reach the store. */
  clientOf (isCut: () => boolean = () => false): KeyValueStore {
    return {
      get: key => this.call('get', isCut, () => this.entries.get(key)),
      list: prefix => this.call('list', isCut, () => [...this.entries.values()].filter(({ key }) => key.startsWith(prefix))),
      compareAndSwap: options => this.call('swap', isCut, () => this.swap(options)),
      grantLease: ttlMs => this.call('grant', isCut, () => this.grant(ttlMs)),
      renewLease: leaseId => this.call('renew', isCut, () => this.renew(leaseId)),
      revokeLease: leaseId => this.call('revoke', isCut, () => this.expireLease(leaseId)),
      watch: (prefix, listener) => this.watch(prefix, listener, isCut)
    }
  }

  /** Makes all calls fail and ends all watches. */
  goDown (): void {
    this.isDown = true
    this.cutWatches()
  }

  /** Removes all leases and watches without notifying listeners, at the end of a test with the real clock. */
  close (): void {
    for (const { timer } of this.leases.values()) clearTimeout(timer)
    this.leases.clear()
    this.watches.clear()
  }

  /** Ends all open watches. */
  cutWatches (): void {
    const watches = [...this.watches]
    this.watches.clear()
    for (const { listener } of watches) listener.onEnd('connection cut')
  }

  /** Expires a lease immediately and deletes its keys. */
  expireLease (leaseId: string): void {
    clearTimeout(this.leases.get(leaseId)?.timer)
    this.leases.delete(leaseId)
    for (const entry of [...this.entries.values()]) if (entry.leaseId === leaseId) this.delete(entry.key)
  }

  /** Reads a key directly, without counting a call. */
  entry (key: string): Entry | undefined {
    return this.entries.get(key)
  }

  /** Number of calls by kind so far. */
  callCount (...kinds: FakeCallKind[]): number {
    return kinds.reduce((sum, kind) => sum + (this.calls.get(kind) ?? 0), 0)
  }

  private async call<Value> (kind: FakeCallKind, isCut: () => boolean, effect: () => Value | StoreFailure): Promise<Result<Value, StoreFailure>> {
    this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1)
    if (this.isDown || isCut()) {
      await sleep(this.delayMs)
      return Result.err({ effect: 'none', reason: 'connect ECONNREFUSED' })
    }
    const answer = this.applyWithDelay(kind, isCut, effect)
    const timeout = sleep(CALL_TIMEOUT_MS).then((): Result<Value, StoreFailure> => Result.err({ effect: 'unknown', reason: 'timeout' }))
    return Promise.race([answer, timeout])
  }

  private async applyWithDelay<Value> (kind: FakeCallKind, isCut: () => boolean, effect: () => Value | StoreFailure): Promise<Result<Value, StoreFailure>> {
    const isRead = kind === 'get' || kind === 'list'
    await sleep(this.delayMs + (isRead ? 0 : this.delayEffectMs))
    const value = effect()
    await sleep(this.delayMs)
    if (!isRead && this.loseAnswers > 0) {
      this.loseAnswers -= 1
      return Result.err({ effect: 'unknown', reason: 'socket closed' })
    }
    if (isCut()) return Result.err({ effect: 'unknown', reason: 'socket closed' })
    return isFailure(value) ? Result.err(value) : Result.ok(value)
  }

  private swap ({ key, value, expectedModRevision, leaseId }: CompareAndSwapOptions): CompareAndSwapOutcome | StoreFailure {
    const current = this.entries.get(key)
    if ((current?.modRevision ?? 0) !== expectedModRevision) return { kind: 'conflict', current }
    if (leaseId !== undefined && !this.leases.has(leaseId)) return { effect: 'none', reason: 'requested lease not found' }
    if (value === undefined) {
      this.delete(key)
      return { kind: 'swapped', modRevision: this.revision }
    }
    this.revision += 1
    const entry = { key, value, modRevision: this.revision, leaseId }
    this.entries.set(key, entry)
    this.notify({ kind: 'put', value: entry }, key)
    return { kind: 'swapped', modRevision: this.revision }
  }

  private delete (key: string): void {
    if (!this.entries.delete(key)) return
    this.revision += 1
    this.notify({ kind: 'delete', key, modRevision: this.revision }, key)
  }

  private grant (ttlMs: number): Lease {
    this.leaseCounter += 1
    const leaseId = `lease-${this.leaseCounter}`
    this.leases.set(leaseId, { ttlMs, timer: setTimeout(() => this.expireLease(leaseId), ttlMs) })
    return { leaseId, ttlMs }
  }

  private renew (leaseId: string): Lease {
    const lease = this.leases.get(leaseId)
    if (lease === undefined) return { leaseId, ttlMs: 0 }
    clearTimeout(lease.timer)
    lease.timer = setTimeout(() => this.expireLease(leaseId), lease.ttlMs)
    return { leaseId, ttlMs: lease.ttlMs }
  }

  private watch (prefix: string, listener: WatchListener, isCut: () => boolean): Watch {
    this.calls.set('watch', (this.calls.get('watch') ?? 0) + 1)
    const watch = { prefix, listener }
    this.watches.add(watch)
    setTimeout(() => {
      if (!this.watches.has(watch)) return
      if (!this.isDown && !isCut()) {
        listener.onOpen?.()
        return
      }
      this.watches.delete(watch)
      listener.onEnd('connect ECONNREFUSED')
    }, this.delayMs)
    return {
      close: () => {
        if (this.watches.delete(watch)) listener.onEnd('closed')
      }
    }
  }

  private notify (event: WatchEvent, key: string): void {
    for (const { prefix, listener } of this.watches) {
      if (key.startsWith(prefix)) setTimeout(() => listener.onEvent(event), this.delayMs)
    }
  }
}

function isFailure (value: unknown): value is StoreFailure {
  return typeof value === 'object' && value !== null && 'effect' in value
}

function sleep (delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs))
}
