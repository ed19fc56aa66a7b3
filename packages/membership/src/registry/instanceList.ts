import * as z from 'zod'
import { Agent } from 'node:http'
import { Result } from 'true-myth'
import { createPeerFetch } from '../transport/peerFetch.js'

const LIST_TIMEOUT_MS = 1_000
const LIST_SIZE_MAX_BYTES = 1_048_576

/** Schema of the platform's list of instances. Other fields are allowed and ignored. @public */
export const instanceListSchema = z.object({
  instances: z.array(z.object({
    /** IP address and port of the peer listener, with an IPv6 address in brackets. */
    address: z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/),
    state: z.enum(['live', 'leaving'])
  })).max(2_000)
})

/** One entry of the platform's list. @public */
export type ListedInstance = z.infer<typeof instanceListSchema>['instances'][number]

/**
 * Reads the platform's list of instances and returns the peer URLs of those in state `live`. The list may be
 * out of date, so that an address may be unreachable or missing.
 * @public
 */
export async function readInstanceList (url: string): Promise<Result<string[], { reason: string }>> {
  const listed = await readListedInstances(url)
  return listed.map(instances => instances.filter(({ state }) => state === 'live').map(({ address }) => `http://${address}`))
}

/** Reads all entries of the platform's list of instances. Never rejects; failures are error results. @public */
export async function readListedInstances (url: string): Promise<Result<ListedInstance[], { reason: string }>> {
  const agent = new Agent()
  try {
    const fetchList = createPeerFetch({ agent, timeoutMs: LIST_TIMEOUT_MS, responseSizeMaxBytes: LIST_SIZE_MAX_BYTES })
    const response = await fetchList(url)
    if (!response.ok) return Result.err({ reason: `instance list request failed with status ${response.status}` })
    return Result.ok(instanceListSchema.parse(await response.json()).instances)
  } catch (error) {
    return Result.err({ reason: (error as Error).message })
  } finally {
    agent.destroy()
  }
}
