import { initTRPC } from '@trpc/server'
import * as z from 'zod'
import type { EventLog } from '@carobpitch/kernel'
import type { WatchEvent } from '@carobpitch/store'
import type { ChangeBatch } from './ChangeStore.js'
import type { DeploymentCache, DeploymentSnapshot } from './DeploymentCache.js'

/** Name of the router under which instances serve the feed to each other. @public */
export const DEPLOYMENT_FEED_ROUTER = 'knowledge'
/** Longest wait that a peer may request. */
const WAIT_MAX_MS = 10_000
/**
 * Time for which a request waits until the store confirms a cache that is too old: a read of the store that has just begun takes a few milliseconds.
 * @internal
 */
export const CONFIRMATION_WAIT_MS = 200
/** Interval at which a waiting request checks whether the store has confirmed the cache. */
const CONFIRMATION_CHECK_MS = 50
/** Excess over the largest accepted age at which a cache is checked, so that a timer that fires early is not set again. */
const AGE_EXCEEDED_MS = 2

/** Response to another instance: the changes after a revision, or all records if the history no longer reaches back to it. @public */
export type FeedResponse = {
  /** Time since the store last confirmed the cache. */
  ageMs: number
} & (
  | { kind: 'changes', batch: ChangeBatch }
  | { kind: 'snapshot', snapshot: DeploymentSnapshot }
)

const feedRequestSchema = z.strictObject({
  revision: z.int().min(0),
  waitMs: z.int().min(0).max(WAIT_MAX_MS),
  /** If the cache is older, the response is sent as soon as the store confirms it, or after a short wait. */
  ageMaxMs: z.number().min(0).optional()
})

/** @internal */
export type FeedRequest = z.infer<typeof feedRequestSchema>

const storedValueSchema = z.strictObject({ key: z.string(), value: z.string(), modRevision: z.int() })

const watchEventSchema: z.ZodType<WatchEvent> = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('put'), value: storedValueSchema }),
  z.strictObject({ kind: z.literal('delete'), key: z.string(), modRevision: z.int() })
])

/** Validator of responses. @internal */
export const feedResponseSchema: z.ZodType<FeedResponse> = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('changes'), ageMs: z.number(), batch: z.strictObject({ events: z.array(watchEventSchema), revision: z.int() }) }),
  z.strictObject({ kind: z.literal('snapshot'), ageMs: z.number(), snapshot: z.strictObject({ records: z.array(storedValueSchema), revision: z.int() }) })
])

/**
 * Options of `createDeploymentFeedRouter`.
 * @public
 */
export interface DeploymentFeedOptions {
  deploymentCache: DeploymentCache
  /** Time since the store last confirmed the cache. */
  ageMs: () => number
  log: EventLog
}

/**
 * Creates the router through which other instances read the changes of this instance's cache.
 * @public
 */
export function createDeploymentFeedRouter ({ deploymentCache, ageMs, log }: DeploymentFeedOptions) {
  const trpc = initTRPC.create()
  return trpc.router({
    changesAfter: trpc.procedure
      .input(feedRequestSchema)
      .query(async ({ input }): Promise<FeedResponse> => {
        await waitForChanges(deploymentCache, input, ageMs)
        const batch = deploymentCache.changesAfter(input.revision)
        if (batch !== undefined) return { kind: 'changes', ageMs: ageMs(), batch }
        const snapshot = deploymentCache.snapshot()
        log.info('feed.snapshot', { after: input.revision, revision: snapshot.revision, records: snapshot.records.length })
        return { kind: 'snapshot', ageMs: ageMs(), snapshot }
      })
  })
}

/** Type of the router, for typed clients. @public */
export type DeploymentFeedRouter = ReturnType<typeof createDeploymentFeedRouter>

/** Waits until there are changes after a revision, the cache has become too old, or the time has passed. */
async function waitForChanges (deploymentCache: DeploymentCache, { revision, waitMs, ageMaxMs = Infinity }: FeedRequest, ageMs: () => number): Promise<void> {
  const startedAtMs = performance.now()
  const leftMs = (): number => waitMs - (performance.now() - startedAtMs)
  const isTooOld = (): boolean => ageMs() > ageMaxMs
  while (isTooOld() && performance.now() - startedAtMs < Math.min(waitMs, CONFIRMATION_WAIT_MS)) await pause(CONFIRMATION_CHECK_MS)
  // The cache ages until the store confirms it again, so it cannot become too old before this time.
  while (!isTooOld() && !hasChangesAfter(deploymentCache, revision) && leftMs() > 0) {
    const ageLeftMs = Math.max(0, ageMaxMs - ageMs()) + AGE_EXCEEDED_MS
    await waitForChange(deploymentCache, revision, Math.min(leftMs(), ageLeftMs))
  }
}

/** Waits until there are changes after a revision, or the time has passed. */
async function waitForChange (deploymentCache: DeploymentCache, revision: number, waitMs: number): Promise<void> {
  await new Promise<void>(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      unsubscribe()
      resolve()
    }
    const unsubscribe = deploymentCache.onChange(() => { if (hasChangesAfter(deploymentCache, revision)) finish() })
    const timer = setTimeout(finish, waitMs)
    timer.unref()
  })
}

function hasChangesAfter (deploymentCache: DeploymentCache, revision: number): boolean {
  // Waiting requests check this often, and most of them already have all changes.
  if (deploymentCache.revision() <= revision) return false
  const batch = deploymentCache.changesAfter(revision)
  return batch === undefined || batch.events.length > 0
}

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs).unref())
}
