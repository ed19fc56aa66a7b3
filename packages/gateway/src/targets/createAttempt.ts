import type { Client } from 'undici'
import { Attempt, readResponseHead, type AttemptOptions } from '@carobpitch/proxy'
import type { GatewayTarget } from './GatewayTarget.js'
import type { TargetProtocol } from './TargetProtocol.js'

/** Attempt options that differ between requests and probes. @internal */
export type TargetAttemptOptions = Omit<AttemptOptions, 'notRunStatuses' | 'readHead' | 'connectionState' | 'isConnectionReused' | 'setReading'>

/** Returns an attempt at a target over one of its connections, in the deployment's protocol. @internal */
export function createAttempt (target: GatewayTarget, client: Client, protocol: TargetProtocol, options: TargetAttemptOptions): Attempt {
  return new Attempt({
    ...options,
    // Targets state in a header, not by the status, that a request has not run.
    notRunStatuses: [],
    readHead: (method, status, rawHeaders) => readResponseHead(method, status, rawHeaders, protocol.readOwnHeader),
    connectionState: () => target.connections.stateOf(client),
    isConnectionReused: () => target.connections.isReused(client),
    setReading: isReading => target.connections.setReading(client, isReading)
  })
}
