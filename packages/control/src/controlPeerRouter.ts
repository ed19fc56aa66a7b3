/** tRPC router that other instances call, mounted on the peer listener under the name `control`. */
import { initTRPC } from '@trpc/server'
import * as z from 'zod'
import { announcementSchema, attemptIdSchema } from './Announcement.js'
import { STORED_SIZE_MAX_BYTES } from './configurationCodec.js'
import type { ControlPeerHandlers } from './ControlPeerHandlers.js'

const trpc = initTRPC.create()

/** Creates the router for peers from an instance's handlers. @public */
// The return type is inferred, because tRPC derives the client's types from it.
export function makeControlPeerRouter (handlers: ControlPeerHandlers) {
  return trpc.router({
    announce: trpc.procedure.input(announcementSchema).mutation(({ input }) => handlers.announce(input)),
    abort: trpc.procedure.input(z.strictObject({ attemptId: attemptIdSchema })).mutation(({ input }) => handlers.abort(input.attemptId)),
    pushConfiguration: trpc.procedure.input(z.strictObject({ value: z.string().max(STORED_SIZE_MAX_BYTES) }))
      .mutation(({ input }) => handlers.pushConfiguration(input.value)),
    snapshot: trpc.procedure.query(() => handlers.snapshot()),
    load: trpc.procedure.query(() => handlers.load())
  })
}

/** Type of the router for peers. @public */
export type ControlPeerRouter = ReturnType<typeof makeControlPeerRouter>
