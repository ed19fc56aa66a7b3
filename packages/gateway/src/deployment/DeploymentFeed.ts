import { initTRPC } from '@trpc/server'
import * as z from 'zod'
import type { WatchEvent } from '@carobpitch/store'
import type { ChangeBatch } from './ChangeStore.js'
import type { DeploymentCache, DeploymentSnapshot } from './DeploymentCache.js'

/** Name under which instances offer the feed to each other. @public */
export const DEPLOYMENT_FEED_ROUTER = 'knowledge'
/** Longest wait that a peer may ask for. */
const WAIT_MAX_MS = 10_000

/** Interval at which a waiting answer looks at the age of the knowledge. */
const AGE_CHECK_MS = 100
/** Time for which an answer that is too old waits to be confirmed: a read of the store that has just begun takes a few milliseconds. */
const CONFIRMATION_WAIT_MS = 200

/** What one instance tells another: the changes after a revision, or everything when they are no longer known. @public */
export type FeedResponse = {
  /** Time since the store confirmed the knowledge. */
  ageMs: number
} & (
  | { kind: 'changes', batch: ChangeBatch }
  | { kind: 'snapshot', snapshot: DeploymentSnapshot }
)

const feedRequestSchema = z.strictObject({
  revision: z.int().min(0),
  waitMs: z.int().min(0).max(WAIT_MAX_MS),
  /** When the knowledge is older, the answer comes as soon as it is confirmed or after a short wait. */
  ageMaxMs: z.number().min(0).optional()
})

/** @internal */
export type FeedRequest = z.infer<typeof feedRequestSchema>

const storedValueSchema = z.strictObject({ key: z.string(), value: z.string(), modRevision: z.int() })

const watchEventSchema: z.ZodType<WatchEvent> = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('put'), value: storedValueSchema }),
  z.strictObject({ kind: z.literal('delete'), key: z.string(), modRevision: z.int() })
])

/** Validator of answers. @internal */
export const feedResponseSchema: z.ZodType<FeedResponse> = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('changes'), ageMs: z.number(), batch: z.strictObject({ events: z.array(watchEventSchema), revision: z.int() }) }),
  z.strictObject({ kind: z.literal('snapshot'), ageMs: z.number(), snapshot: z.strictObject({ records: z.array(storedValueSchema), revision: z.int() }) })
])

/**
 * Creates the router by which other instances follow the knowledge of this one.
 * @param ageMs time since the store confirmed the knowledge
 * @public
 */
export function createDeploymentFeedRouter (knowledge: DeploymentCache, ageMs: () => number) {
  const trpc = initTRPC.create()
  return trpc.router({
    changesAfter: trpc.procedure
      .input(feedRequestSchema)
      .query(async ({ input }): Promise<FeedResponse> => {
        await knowsMore(knowledge, input, ageMs)
        const batch = knowledge.changesAfter(input.revision)
        if (batch !== undefined) return { kind: 'changes', ageMs: ageMs(), batch }
        return { kind: 'snapshot', ageMs: ageMs(), snapshot: knowledge.snapshot() }
      })
  })
}

/** Type of the router, for typed clients. @public */
export type DeploymentFeedRouter = ReturnType<typeof createDeploymentFeedRouter>

/** Waits until something is known after a revision, the knowledge has become too old, or the time has passed. */
async function knowsMore (knowledge: DeploymentCache, { revision, waitMs, ageMaxMs = Infinity }: FeedRequest, ageMs: () => number): Promise<void> {
  const isOld = (): boolean => ageMs() > ageMaxMs
  if (isOld()) await until(knowledge, () => !isOld(), Math.min(waitMs, CONFIRMATION_WAIT_MS))
  if (!isOld()) await until(knowledge, () => isOld() || hasChangesAfter(knowledge, revision), waitMs)
}

/** Waits until a condition holds, which is looked at after each change and at an interval. */
async function until (knowledge: DeploymentCache, condition: () => boolean, waitMs: number): Promise<void> {
  if (waitMs === 0 || condition()) return
  await new Promise<void>(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      clearInterval(ageCheck)
      unsubscribe()
      resolve()
    }
    const check = (): void => { if (condition()) finish() }
    const unsubscribe = knowledge.onChange(check)
    const timer = setTimeout(finish, waitMs)
    const ageCheck = setInterval(check, AGE_CHECK_MS)
    timer.unref()
    ageCheck.unref()
  })
}

function hasChangesAfter (knowledge: DeploymentCache, revision: number): boolean {
  const batch = knowledge.changesAfter(revision)
  return batch === undefined || batch.events.length > 0
}
