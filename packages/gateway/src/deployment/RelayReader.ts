import { Result } from 'true-myth'
import type { EventLog } from '@carobpitch/kernel'
import type { FeedResponse } from './DeploymentFeed.js'
import type { QueryPeer } from './PeerFeedClient.js'

/** Largest accepted age of a relay's cache: one wait at the store, one pause and the response. @internal */
export const RELAY_AGE_MAX_MS = 1_400
/** Longest wait of one query to a relay. A frozen relay is detected after it, within the time for a configuration to take effect. */
const RELAY_WAIT_MS = 800
/** Time for which a relay is skipped after it did not respond; instances freeze for a few seconds. */
const UNRESPONSIVE_RELAY_SKIP_MS = 6_000
/** Time for which a relay is skipped that refused, is just starting or was not recent enough; another may be reading the store by then. */
const REFUSED_RELAY_SKIP_MS = 200

/**
 * Options of `RelayReader`.
 * @public
 */
export interface RelayReaderOptions {
  queryPeer: QueryPeer
  log: EventLog
}

/**
 * Queries the instances that read the store for this one, up to the first whose cache is recent enough.
 * @internal
 */
export class RelayReader {
  private readonly options: RelayReaderOptions
  private readonly skippedUntilMs = new Map<string, number>()

  constructor (options: RelayReaderOptions) {
    this.options = options
  }

  /** Waits for changes after a revision. Returns `undefined` if no relay is recent enough. */
  async read (urls: readonly string[], revision: number): Promise<FeedResponse | undefined> {
    for (const url of urls) {
      if (performance.now() < (this.skippedUntilMs.get(url) ?? 0)) continue
      const response = await this.query(url, revision)
      if (response.isOk) return response.value
      this.options.log.info('relay.refused', { url, reason: response.error })
    }
    this.dropExpired()
    return undefined
  }

  private async query (url: string, revision: number): Promise<Result<FeedResponse, string>> {
    const sentAtMs = performance.now()
    const response = await this.options.queryPeer(url, { revision, waitMs: RELAY_WAIT_MS, ageMaxMs: RELAY_AGE_MAX_MS })
    if (response.isOk && response.value.ageMs <= RELAY_AGE_MAX_MS) return response
    const isUnresponsive = response.isErr && performance.now() - sentAtMs >= RELAY_WAIT_MS
    this.skippedUntilMs.set(url, performance.now() + (isUnresponsive ? UNRESPONSIVE_RELAY_SKIP_MS : REFUSED_RELAY_SKIP_MS))
    return response.isErr ? response : Result.err(`its cache is ${Math.round(response.value.ageMs)} ms old`)
  }

  private dropExpired (): void {
    for (const [url, untilMs] of this.skippedUntilMs) {
      if (untilMs <= performance.now()) this.skippedUntilMs.delete(url)
    }
  }
}
