import { Result } from 'true-myth'
import type { StoredValue, StoreFailure, WatchEvent } from '@carobpitch/store'
import type { ChangeBatch, ChangesFailure, ChangesOptions, ChangeStore, ListOptions, RecordPage } from '../ChangeStore.js'
import { type SimulatedLink, sleep } from './SimulatedLink.js'

const RESPONSE_MS = 4
const RESPONSE_TIMEOUT_MS = 1_000
const TRANSFER_TIMEOUT_MS = 2_000
const PAGE_SIZE = 50
/** Base64 and the names of the fields add about this much to a value. */
const WIRE_SIZE_FACTOR = 1.4

/** How the store treats the calls of an instance. @internal */
export type StoreBehaviour = 'serve' | 'busy' | 'silent'

/** What the store client of an instance needs to know about it. @internal */
export interface StoreCaller {
  id: string
  link: SimulatedLink
}

/**
 * Key-value store for simulated fleets. Its watches can fall silent and be cut, its history can be dropped, and it can turn instances away.
 * @internal
 */
export class SimulatedStore {
  behaviourFor: (instanceId: string) => StoreBehaviour = () => 'serve'
  /** Whether waiting watches hear nothing. */
  areWatchesSilent = false
  calls = 0
  private readonly records = new Map<string, StoredValue>()
  private events: WatchEvent[] = []
  private historyStart = 0
  private revision = 0
  private readonly watches = new Set<{ wake: () => void, cut: () => void }>()

  put (key: string, value: string): void {
    this.revision += 1
    const record = { key, value, modRevision: this.revision }
    this.records.set(key, record)
    this.record({ kind: 'put', value: record })
  }

  remove (key: string): void {
    if (!this.records.delete(key)) return
    this.revision += 1
    this.record({ kind: 'delete', key, modRevision: this.revision })
  }

  /** Drops the history up to the current revision and cuts all watches. */
  compact (): void {
    this.events = []
    this.historyStart = this.revision
    this.cutWatches()
  }

  /** Ends all waiting watches without a response. */
  cutWatches (): void {
    this.areWatchesSilent = false
    for (const { cut } of [...this.watches]) cut()
  }

  /** Creates the client of an instance. */
  clientOf (caller: StoreCaller): Pick<ChangeStore, 'listPage' | 'changesAfter'> {
    return {
      listPage: async (_prefix, options) => await this.listPage(caller, options ?? {}),
      changesAfter: async (_prefix, revision, waitMs, options) => await this.changesAfter(caller, revision, waitMs, options ?? {})
    }
  }

  private record (event: WatchEvent): void {
    this.events.push(event)
    if (!this.areWatchesSilent) for (const { wake } of [...this.watches]) wake()
  }

  private async listPage (caller: StoreCaller, { after = '', responseTimeoutMs = RESPONSE_TIMEOUT_MS, transferTimeoutMs = TRANSFER_TIMEOUT_MS }: ListOptions): Promise<Result<RecordPage, StoreFailure>> {
    const refusal = await this.receive(caller, responseTimeoutMs)
    if (refusal !== undefined) return Result.err({ effect: 'none', reason: refusal })
    const keys = [...this.records.keys()].filter(key => key > after).sort()
    const records = keys.slice(0, PAGE_SIZE).map(key => this.records.get(key) as StoredValue)
    const { revision } = this
    const isInTime = await caller.link.transferWithin(wireSizeOf(records.map(({ value }) => value)), transferTimeoutMs)
    if (!isInTime) return Result.err({ effect: 'none', reason: 'no complete response' })
    return Result.ok({ records, revision, hasMore: keys.length > PAGE_SIZE })
  }

  private async changesAfter (caller: StoreCaller, revision: number, waitMs: number, { responseTimeoutMs = RESPONSE_TIMEOUT_MS, transferTimeoutMs = TRANSFER_TIMEOUT_MS, sizeMaxBytes = Infinity }: ChangesOptions): Promise<Result<ChangeBatch, ChangesFailure>> {
    const refusal = await this.receive(caller, waitMs + responseTimeoutMs)
    if (refusal !== undefined) return Result.err({ kind: 'unavailable', reason: refusal })
    if (revision < this.historyStart) return Result.err({ kind: 'history-lost' })
    const end = await this.wait(revision, waitMs, responseTimeoutMs)
    if (end === 'cut') return Result.err({ kind: 'unavailable', reason: 'read ECONNRESET' })
    if (end === 'timeout') return Result.err({ kind: 'unavailable', reason: 'no response' })
    const events = this.events.filter(event => (event.kind === 'put' ? event.value.modRevision : event.modRevision) > revision)
    const batch = { events, revision: this.revision }
    const values = events.map(event => event.kind === 'put' ? event.value.value : '')
    if (values.join('').length > sizeMaxBytes) return Result.err({ kind: 'too-large' })
    const isInTime = await caller.link.transferWithin(wireSizeOf(values), transferTimeoutMs)
    return isInTime ? Result.ok(batch) : Result.err({ kind: 'unavailable', reason: 'no complete response' })
  }

  /** Returns the reason if the call gets no regular response. */
  private async receive ({ id }: StoreCaller, timeoutMs: number): Promise<string | undefined> {
    this.calls += 1
    await sleep(RESPONSE_MS)
    switch (this.behaviourFor(id)) {
      case 'serve': return undefined
      case 'busy': return 'status 503'
      case 'silent': {
        await sleep(timeoutMs - RESPONSE_MS)
        return 'no response'
      }
    }
  }

  private async wait (revision: number, waitMs: number, responseTimeoutMs: number): Promise<'due' | 'cut' | 'timeout'> {
    if (this.revision > revision && !this.areWatchesSilent) return 'due'
    return await new Promise(resolve => {
      const finish = (end: 'due' | 'cut' | 'timeout'): void => {
        clearTimeout(responseTimer)
        clearTimeout(timeoutTimer)
        this.watches.delete(watch)
        resolve(end)
      }
      const watch = { wake: () => finish('due'), cut: () => finish('cut') }
      const responseTimer = setTimeout(() => { if (!this.areWatchesSilent) finish('due') }, waitMs)
      const timeoutTimer = setTimeout(() => finish('timeout'), waitMs + responseTimeoutMs)
      this.watches.add(watch)
    })
  }
}

function wireSizeOf (values: readonly string[]): number {
  return 200 + values.reduce((sizeBytes, value) => sizeBytes + value.length * WIRE_SIZE_FACTOR, 0)
}
