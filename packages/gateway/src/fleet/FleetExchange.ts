import { initTRPC } from '@trpc/server'
import { Result } from 'true-myth'
import * as z from 'zod'
import type { PeerLinks } from '@carobpitch/membership'
import { instanceIdSchema, type InstanceId } from '@carobpitch/schema'
import type { RowsCursor, RowsDelta } from './CounterRows.js'

/** Name of the router under which instances exchange counters. @public */
export const FLEET_EXCHANGE_ROUTER = 'fleet'
/** Time until a peer's answer begins; a few times the way between failure domains. */
const ANSWER_TIMEOUT_MS = 400
/** Time for the rest of an answer, which holds all rows after a start. */
const TRANSFER_TIMEOUT_MS = 1_500

const countSchema = z.int().min(0)

const cursorSchema = z.strictObject({ epoch: countSchema, names: countSchema, rows: countSchema, position: countSchema })

const deltaSchema = z.strictObject({
  epoch: countSchema,
  namesFrom: countSchema,
  names: z.array(z.string()),
  rowsFrom: countSchema,
  rows: z.array(z.tuple([instanceIdSchema, countSchema])),
  changes: z.array(z.array(z.number().min(0))),
  position: countSchema,
  hasMore: z.boolean()
})

const requestSchema = z.strictObject({ from: instanceIdSchema, cursor: cursorSchema, delta: deltaSchema })
const responseSchema = z.strictObject({ cursor: cursorSchema, delta: deltaSchema })

/**
 * What one instance sends to another: what it has of the other's rows, and what the other hasn't of its own.
 * @public
 */
export interface FleetExchangeRequest {
  from: InstanceId
  cursor: RowsCursor
  delta: RowsDelta
}

/** Answer to an exchange, in the same form. @public */
export type FleetExchangeResponse = Omit<FleetExchangeRequest, 'from'>

/** Exchanges counters with another instance. @public */
export type ExchangeWithPeer = (peerUrl: string, request: FleetExchangeRequest) => Promise<Result<FleetExchangeResponse, string>>

/** Creates the router through which other instances exchange counters with this one. @public */
export function createFleetExchangeRouter (serve: (request: FleetExchangeRequest) => FleetExchangeResponse) {
  const trpc = initTRPC.create()
  return trpc.router({
    exchange: trpc.procedure.input(requestSchema).mutation(({ input }): FleetExchangeResponse => serve(input))
  })
}

/** Type of the router, for typed clients. @public */
export type FleetExchangeRouter = ReturnType<typeof createFleetExchangeRouter>

/** Returns a function that exchanges counters with other instances over tRPC. @public */
export function createFleetExchangeClient (links: PeerLinks): ExchangeWithPeer {
  return async (peerUrl, request) => {
    try {
      const client = links.client<FleetExchangeRouter>({ peerUrl }, FLEET_EXCHANGE_ROUTER, ANSWER_TIMEOUT_MS, TRANSFER_TIMEOUT_MS)
      const response = responseSchema.safeParse(await client.exchange.mutate(request))
      return response.success ? Result.ok(response.data) : Result.err(`invalid response: ${response.error.message}`)
    } catch (error) {
      return Result.err((error as Error).message)
    }
  }
}
