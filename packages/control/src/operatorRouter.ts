/** tRPC router that operators call. Failed operations are returned as values; only a malformed call is a tRPC error. */
import { initTRPC } from '@trpc/server'
import * as z from 'zod'
import { changeIdSchema } from '@carobpitch/schema'
import type { OperatorActions } from './OperatorActions.js'

/** tRPC context of an operator's call. @public */
export interface OperatorContext {
  /** Name of the operator as given in the credentials file. */
  operator: string
}

// Otherwise errors contain stack traces of the process unless NODE_ENV is `production`.
const trpc = initTRPC.context<OperatorContext>().create({ isDev: false })
const changeInput = z.strictObject({ changeId: changeIdSchema })

/** Creates the router for operators of an instance. @public */
// The return type is inferred, because tRPC derives the client's types from it. Calls that send a document
// are mutations, because queries put their input into the URL.
export function makeOperatorRouter (actions: OperatorActions, dump: () => unknown) {
  return trpc.router({
    plan: trpc.procedure.input(z.strictObject({ operations: z.unknown() }))
      .mutation(({ input, ctx }) => actions.plan(input.operations, ctx.operator)),
    confirm: trpc.procedure.input(changeInput).mutation(({ input, ctx }) => actions.confirm(input.changeId, ctx.operator)),
    status: trpc.procedure.input(changeInput).query(({ input }) => actions.status(input.changeId)),
    history: trpc.procedure.query(() => actions.history()),
    diff: trpc.procedure.input(z.strictObject({ declaration: z.unknown() })).mutation(({ input }) => actions.diff(input.declaration)),
    validate: trpc.procedure.input(z.strictObject({ declaration: z.unknown() })).mutation(({ input }) => actions.validate(input.declaration)),
    instances: trpc.procedure.query(() => actions.instances()),
    dump: trpc.procedure.query(() => dump())
  })
}

/** Type of the operator router. @public */
export type OperatorRouter = ReturnType<typeof makeOperatorRouter>
