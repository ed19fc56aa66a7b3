import { initTRPC } from '@trpc/server'
import { z } from 'zod'
import type { WatchEvent } from '@carobpitch/store'
import type { ChangeBatch } from './ChangeStore.js'
import type { Knowledge, KnowledgeSnapshot } from './Knowledge.js'

/** Name under which instances offer the feed to each other. @public */
export const KNOWLEDGE_ROUTER = 'knowledge'
/** Longest wait that a peer may ask for. */
const WAIT_MAX_MS = 10_000

/** What one instance tells another: the changes after a revision, or everything when they are no longer known. @public */
export type FeedAnswer =
  | { kind: 'changes', batch: ChangeBatch }
  | { kind: 'snapshot', snapshot: KnowledgeSnapshot }

const feedRequestSchema = z.strictObject({
  revision: z.int().min(0),
  waitMs: z.int().min(0).max(WAIT_MAX_MS)
})

const storedValueSchema = z.strictObject({ key: z.string(), value: z.string(), modRevision: z.int() })

const watchEventSchema: z.ZodType<WatchEvent> = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('put'), value: storedValueSchema }),
  z.strictObject({ kind: z.literal('delete'), key: z.string(), modRevision: z.int() })
])

/** Validator of answers. @internal */
export const feedAnswerSchema: z.ZodType<FeedAnswer> = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('changes'), batch: z.strictObject({ events: z.array(watchEventSchema), revision: z.int() }) }),
  z.strictObject({ kind: z.literal('snapshot'), snapshot: z.strictObject({ records: z.array(storedValueSchema), revision: z.int() }) })
])

/** Creates the router by which other instances follow the knowledge of this one. @public */
// eslint-disable-next-line @typescript-eslint/explicit-function-return-type
export function createKnowledgeRouter (knowledge: Knowledge) {
  const trpc = initTRPC.create()
  return trpc.router({
    changesAfter: trpc.procedure
      .input(feedRequestSchema)
      .query(async ({ input: { revision, waitMs } }): Promise<FeedAnswer> => {
        await knowsMoreThan(knowledge, revision, waitMs)
        const batch = knowledge.changesAfter(revision)
        if (batch !== undefined) return { kind: 'changes', batch }
        return { kind: 'snapshot', snapshot: knowledge.snapshot() }
      })
  })
}

/** Type of the router, for typed clients. @public */
export type KnowledgeRouter = ReturnType<typeof createKnowledgeRouter>

/** Waits until something is known after a revision, for `waitMs` at most. */
async function knowsMoreThan (knowledge: Knowledge, revision: number, waitMs: number): Promise<void> {
  if (waitMs === 0 || hasChangesAfter(knowledge, revision)) return
  await new Promise<void>(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      unsubscribe()
      resolve()
    }
    const unsubscribe = knowledge.onChange(() => { if (hasChangesAfter(knowledge, revision)) finish() })
    const timer = setTimeout(finish, waitMs)
    timer.unref()
  })
}

function hasChangesAfter (knowledge: Knowledge, revision: number): boolean {
  const batch = knowledge.changesAfter(revision)
  return batch === undefined || batch.events.length > 0
}
