/** Helpers for tests that act as one of the platform's callers. */
import { WIRE_HEADERS, GATEWAY_PATHS } from '../wire.js'

/** Header with the target's seal on its response, in lower case. */
export const SEAL_HEADER = 'x-carobpitch-server-seal'

/** Returns the headers of a caller's request. */
export function callerHeaders ({ host, requestId, deadlineMs }: { host: string, requestId: string, deadlineMs: number }): Record<string, string> {
  return { host, [WIRE_HEADERS.requestId]: requestId, [WIRE_HEADERS.remainingMs]: String(deadlineMs) }
}

/** Returns the path and query of a directory request. */
export function directoryQueryPath (host: string, zone: string): string {
  return `${GATEWAY_PATHS.directory}?${new URLSearchParams({ name: host, region: 'kyushu', zone })}`
}
