import { randomUUID } from 'node:crypto'
import type { Dispatcher } from 'undici'
import * as z from 'zod'
import type { RevisionSighting } from './CallRecord.js'

const addressListSchema = z.object({
  revision: z.int(),
  ttlMs: z.number(),
  instances: z.array(z.object({ url: z.string() }))
})

interface AddressList {
  urls: string[]
  expiresAtMs: number
}

/**
 * Options of `AddressListCache`.
 * @public
 */
export interface AddressListCacheOptions {
  /** Caller URLs of some instances, from the caller's own settings. */
  bootstrapUrls: readonly string[]
  dispatcher: Dispatcher
  fetchTimeoutMs?: number
  random?: () => number
}

/**
 * Caches the address list of each service, fetched from any instance, for its time to live.
 * @public
 */
export class AddressListCache {
  readonly sightings: RevisionSighting[] = []
  private readonly callerId = randomUUID()
  private readonly options: Required<AddressListCacheOptions>
  private readonly knownUrls: Set<string>
  private readonly lists = new Map<string, AddressList>()
  private readonly pendingFetches = new Map<string, Promise<AddressList | undefined>>()

  constructor ({ fetchTimeoutMs = 1_000, random = Math.random, ...options }: AddressListCacheOptions) {
    this.options = { fetchTimeoutMs, random, ...options }
    this.knownUrls = new Set(options.bootstrapUrls)
  }

  /** Returns the addresses for a service in the order of use. Falls back to an expired list when no instance responds. */
  async getAddresses (service: string): Promise<readonly string[]> {
    const cached = this.lists.get(service)
    if (cached !== undefined && cached.expiresAtMs > performance.now()) return cached.urls
    const fetched = await this.fetchOnce(service)
    return fetched?.urls ?? cached?.urls ?? [...this.knownUrls]
  }

  /** Marks the list of a service as expired, so that the next call fetches it again. */
  invalidate (service: string): void {
    const cached = this.lists.get(service)
    if (cached !== undefined) cached.expiresAtMs = 0
  }

  private async fetchOnce (service: string): Promise<AddressList | undefined> {
    let pending = this.pendingFetches.get(service)
    if (pending === undefined) {
      pending = this.fetchList(service).finally(() => this.pendingFetches.delete(service))
      this.pendingFetches.set(service, pending)
    }
    return await pending
  }

  private async fetchList (service: string): Promise<AddressList | undefined> {
    const urls = [...this.knownUrls]
    const first = Math.floor(this.options.random() * urls.length)
    for (let index = 0; index < urls.length; index += 1) {
      const list = await this.fetchFromInstance(urls[(first + index) % urls.length] as string, service)
      if (list === undefined) continue
      this.lists.set(service, list)
      for (const url of list.urls) this.knownUrls.add(url)
      return list
    }
    return undefined
  }

  private async fetchFromInstance (instanceUrl: string, service: string): Promise<AddressList | undefined> {
    const { dispatcher, fetchTimeoutMs } = this.options
    const requestedAtMs = performance.now()
    const signal = AbortSignal.timeout(fetchTimeoutMs)
    try {
      const { statusCode, body } = await dispatcher.request({
        origin: instanceUrl, method: 'GET', path: `/.carobpitch/instances?service=${encodeURIComponent(service)}`, signal
      })
      const text = await body.text()
      if (statusCode !== 200) return undefined
      const { revision, ttlMs, instances } = addressListSchema.parse(JSON.parse(text))
      this.sightings.push({ callerId: this.callerId, instanceUrl, atEpochMs: Date.now(), revision })
      // The time to live counts from the request, so that the list is not used for longer than the instance allows.
      return instances.length > 0 ? { urls: instances.map(({ url }) => url), expiresAtMs: requestedAtMs + ttlMs } : undefined
    } catch {
      return undefined
    }
  }
}
