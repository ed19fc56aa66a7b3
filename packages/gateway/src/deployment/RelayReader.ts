import type { EventLog } from '@carobpitch/kernel'
import type { FeedResponse } from './DeploymentFeed.js'
import type { QueryPeer } from './PeerFeedClient.js'
import type { PropagationBudget } from './propagationBudget.js'
import type { Relays } from './selectRelays.js'

/** Time for which a relay is skipped after it did not respond; instances freeze for a few seconds. */
const UNRESPONSIVE_RELAY_SKIP_MS = 6_000

/**
 * Options of `RelayReader`.
 * @internal
 */
export interface RelayReaderOptions {
  queryPeer: QueryPeer
  budget: PropagationBudget
  /** Applies a response to the cache. Changes of a relay that is too old are valid as well, they only confirm nothing. */
  apply: (response: FeedResponse, revision: number) => void
  revision: () => number
  log: EventLog
}

/**
 * Result of a round of queries. `stale`: relays in several failure domains have responded, but none has reached the store recently;
 * `unreachable`: too few have responded to conclude that.
 * @internal
 */
export type RelayReadOutcome = { kind: 'fresh', ageMs: number } | { kind: 'stale' } | { kind: 'unreachable' }

/** What one query has shown. */
type QueryOutcome = { kind: 'fresh', ageMs: number } | { kind: 'stale' | 'unresponsive' }

/**
 * Queries the instances that read the store for this one.
 * @internal
 */
export class RelayReader {
  private readonly options: RelayReaderOptions
  private readonly skippedUntilMs = new Map<string, number>()
  /** Relays that responded, but not recent enough. They are queried after the others. */
  private readonly demotedUntilMs = new Map<string, number>()

  constructor (options: RelayReaderOptions) {
    this.options = options
  }

  /** Waits for changes at the first relay. If that fails, queries all others at once, so that their timeouts do not add up. */
  async read ({ urls, distantUrls, isSubstitute }: Relays): Promise<RelayReadOutcome> {
    const { budget } = this.options
    dropExpired(this.skippedUntilMs)
    dropExpired(this.demotedUntilMs)
    const responsive = urls.filter(url => !this.skippedUntilMs.has(url))
    const [primary, ...others] = [...responsive.filter(url => !this.demotedUntilMs.has(url)), ...responsive.filter(url => this.demotedUntilMs.has(url))]
    const first = primary === undefined ? undefined : await this.query(primary, budget.relayWaitMs)
    if (first?.kind === 'fresh') return first
    if (isSubstitute) return { kind: 'unreachable' }
    return await this.queryAll(others, distantUrls.filter(url => !this.skippedUntilMs.has(url)), first)
  }

  private async queryAll (others: readonly string[], distant: readonly string[], first: QueryOutcome | undefined): Promise<RelayReadOutcome> {
    const nearQueries = others.map(async url => await this.query(url, 0))
    const distantQueries = distant.map(async url => await this.query(url, 0))
    const fresh = await firstFresh([...nearQueries, ...distantQueries])
    if (fresh !== undefined) return fresh
    const near = [...(first === undefined ? [] : [first]), ...await Promise.all(nearQueries)]
    const isStaleIn = (outcomes: readonly QueryOutcome[]): boolean => outcomes.some(({ kind }) => kind === 'stale')
    return { kind: isStaleIn(near) && isStaleIn(await Promise.all(distantQueries)) ? 'stale' : 'unreachable' }
  }

  private async query (url: string, waitMs: number): Promise<QueryOutcome> {
    const { queryPeer, budget, apply, revision, log } = this.options
    const sentAtMs = performance.now()
    const after = revision()
    const response = await queryPeer(url, { revision: after, waitMs, ageMaxMs: budget.relayAgeMaxMs })
    if (response.isOk) apply(response.value, after)
    if (response.isOk && response.value.ageMs <= budget.relayAgeMaxMs) return { kind: 'fresh', ageMs: response.value.ageMs }
    const isUnresponsive = response.isErr && performance.now() - sentAtMs >= budget.relayResponseMs
    if (isUnresponsive) this.skippedUntilMs.set(url, performance.now() + UNRESPONSIVE_RELAY_SKIP_MS)
    else this.demotedUntilMs.set(url, performance.now() + budget.relayAgeMaxMs)
    log.info('relay.refused', { url, reason: response.isErr ? response.error : `its cache is ${Math.round(response.value.ageMs)} ms old` })
    return { kind: response.isErr ? 'unresponsive' : 'stale' }
  }
}

function dropExpired (untilMsByUrl: Map<string, number>): void {
  for (const [url, untilMs] of untilMsByUrl) {
    if (untilMs <= performance.now()) untilMsByUrl.delete(url)
  }
}

/** Resolves with the first fresh outcome, or with `undefined` once all queries have ended without one. */
async function firstFresh (queries: ReadonlyArray<Promise<QueryOutcome>>): Promise<QueryOutcome & { kind: 'fresh' } | undefined> {
  return await new Promise(resolve => {
    let pending = queries.length
    if (pending === 0) resolve(undefined)
    for (const query of queries) {
      query.then(outcome => {
        pending -= 1
        if (outcome.kind === 'fresh') resolve(outcome)
        else if (pending === 0) resolve(undefined)
      })
    }
  })
}
