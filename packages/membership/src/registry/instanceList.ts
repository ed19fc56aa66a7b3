import { z } from 'zod'
import { Agent } from 'node:http'
import { Result } from 'true-myth'
import { createPeerFetch } from '../transport/peerFetch.js'

const LIST_TIMEOUT_MS = 1_000
const LIST_SIZE_MAX_BYTES = 1_048_576

/** Validator of the platform's list of instances. Fields that carobpitch does not use are allowed. @public */
export const instanceListSchema = z.object({
  instances: z.array(z.object({
    /** IP number and port of the peer listener; an IPv6 number is in brackets. */
    address: z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/),
    state: z.enum(['live', 'leaving'])
  })).max(2_000)
})

/**
 * Reads the platform's list of instances and returns the peer URLs of those it calls live. The list lags,
 * so that its addresses are worth a try and nothing more.
 * @public
 */
export async function readInstanceList (url: string): Promise<Result<string[], { reason: string }>> {
  const agent = new Agent()
  try {
    const fetchList = createPeerFetch({ agent, timeoutMs: LIST_TIMEOUT_MS, responseSizeMaxBytes: LIST_SIZE_MAX_BYTES })
    const response = await fetchList(url)
    if (!response.ok) return Result.err({ reason: `instance list answered status ${response.status}` })
    const { instances } = instanceListSchema.parse(await response.json())
    return Result.ok(instances.filter(({ state }) => state === 'live').map(({ address }) => `http://${address}`))
  } catch (error) {
    return Result.err({ reason: (error as Error).message })
  } finally {
    agent.destroy()
  }
}
