import type { Client } from 'undici'
import { Attempt, readResponseHead, type AttemptOptions } from '@carobpitch/proxy'
import type { GatewayTarget } from './GatewayTarget.js'
import type { TargetProtocol } from './TargetProtocol.js'

const KEEP_ALIVE_NAME = 'keep-alive'

/** Attempt options that differ between requests and probes. @internal */
export type TargetAttemptOptions = Omit<AttemptOptions, 'notRunStatuses' | 'readHead' | 'connectionState' | 'isConnectionReused' | 'setReading'>

/** Returns an attempt at a target over one of its connections, in the deployment's protocol. @internal */
export function createAttempt (target: GatewayTarget, client: Client, protocol: TargetProtocol, options: TargetAttemptOptions): Attempt {
  return new Attempt({
    ...options,
    // Targets state in a header, not by the status, that a request has not run.
    notRunStatuses: [],
    readHead: (method, status, rawHeaders) => {
      const idleTimeoutMs = readIdleTimeoutMs(rawHeaders)
      if (idleTimeoutMs !== undefined) target.connections.announceIdleTimeout(client, idleTimeoutMs)
      return readResponseHead(method, status, rawHeaders, protocol.readOwnHeader)
    },
    connectionState: () => target.connections.stateOf(client),
    isConnectionReused: () => target.connections.isReused(client),
    setReading: isReading => target.connections.setReading(client, isReading)
  })
}

/** Idle timeout that a response announces for its connection. */
function readIdleTimeoutMs (rawHeaders: readonly Buffer[]): number | undefined {
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.length !== KEEP_ALIVE_NAME.length || rawHeaders[index]?.toString('latin1').toLowerCase() !== KEEP_ALIVE_NAME) continue
    const seconds = /(?:^|[,\s])timeout=(\d+)/i.exec(rawHeaders[index + 1]?.toString('latin1') ?? '')?.[1]
    return seconds === undefined ? undefined : Number(seconds) * 1_000
  }
  return undefined
}
