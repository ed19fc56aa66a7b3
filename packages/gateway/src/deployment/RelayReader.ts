import { Result } from 'true-myth'
import type { EventLog } from '@carobpitch/kernel'
import type { FeedResponse } from './DeploymentFeed.js'
import type { QueryPeer } from './PeerFeedClient.js'

/** Age up to which the knowledge of a relay is used: one wait at the store, one pause and the answer. @internal */
export const RELAY_AGE_MAX_MS = 1_400
/** Wait of one question to a relay. A frozen one shows after it, within the time for a configuration. */
const RELAY_WAIT_MS = 800
/** Time for which a relay is passed over after it did not answer; instances freeze for a few seconds. */
const SILENT_RELAY_MS = 6_000
/** Time for which a relay is passed over that refused, is just starting or knew too little; another may be reading the store by then. */
const REFUSED_RELAY_MS = 200

/**
 * Options of `RelayReader`.
 * @public
 */
export interface RelayReaderOptions {
  queryPeer: QueryPeer
  log: EventLog
}

/**
 * Asks the instances that read the store for this one, the first that knows enough.
 * @internal
 */
export class RelayReader {
  private readonly options: RelayReaderOptions
  private readonly passedOverUntilMs = new Map<string, number>()

  constructor (options: RelayReaderOptions) {
    this.options = options
  }

  /** Waits for news after a revision. Returns `undefined` when no relay knows enough. */
  async read (urls: readonly string[], revision: number): Promise<FeedResponse | undefined> {
    for (const url of urls) {
      if (performance.now() < (this.passedOverUntilMs.get(url) ?? 0)) continue
      const answer = await this.ask(url, revision)
      if (answer.isOk) return answer.value
      this.options.log.info('relay.refused', { url, reason: answer.error })
    }
    this.forgetPast()
    return undefined
  }

  private async ask (url: string, revision: number): Promise<Result<FeedResponse, string>> {
    const askedAtMs = performance.now()
    const answer = await this.options.queryPeer(url, { revision, waitMs: RELAY_WAIT_MS, ageMaxMs: RELAY_AGE_MAX_MS })
    if (answer.isOk && answer.value.ageMs <= RELAY_AGE_MAX_MS) return answer
    const isSilent = answer.isErr && performance.now() - askedAtMs >= RELAY_WAIT_MS
    this.passedOverUntilMs.set(url, performance.now() + (isSilent ? SILENT_RELAY_MS : REFUSED_RELAY_MS))
    return answer.isErr ? answer : Result.err(`its knowledge is ${Math.round(answer.value.ageMs)} ms old`)
  }

  private forgetPast (): void {
    for (const [url, untilMs] of this.passedOverUntilMs) {
      if (untilMs <= performance.now()) this.passedOverUntilMs.delete(url)
    }
  }
}
