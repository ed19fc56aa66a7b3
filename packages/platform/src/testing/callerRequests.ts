/** What a test needs to act as one of the platform's callers. */
import { WIRE_HEADERS, GATEWAY_PATHS } from '../wire.js'

/** Header by which a target seals its response, in lower case. */
export const SEAL_HEADER = 'x-carobpitch-server-seal'

/** Returns the headers of a caller's request. */
export function callerHeaders ({ host, requestId, deadlineMs }: { host: string, requestId: string, deadlineMs: number }): Record<string, string> {
  return { host, [WIRE_HEADERS.requestId]: requestId, [WIRE_HEADERS.remainingMs]: String(deadlineMs) }
}

/** Returns the path of a question to the directory. */
export function directoryQueryPath (host: string, zone: string): string {
  return `${GATEWAY_PATHS.directory}?${new URLSearchParams({ name: host, region: 'kyushu', zone })}`
}
