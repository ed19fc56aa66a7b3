import type { CallerProtocol } from '@carobpitch/gateway'
import { failureDomainIdSchema } from '@carobpitch/schema'
import { formatDuration } from './durations.js'
import { WIRE_HEADERS, GATEWAY_PATHS } from './wire.js'

/** Protocol between the platform's callers and the gateway. */
export const callerProtocol: CallerProtocol = {
  readFacts: headers => ({
    requestId: textOf(headers[WIRE_HEADERS.requestId]),
    deadlineMs: positiveNumberOf(headers[WIRE_HEADERS.remainingMs])
  }),
  readAccountKey: headers => BEARER_PATTERN.exec(textOf(headers[WIRE_HEADERS.accountKey]) ?? '')?.[1],
  retryAfterHeader: WIRE_HEADERS.retryAfterS,
  readinessPath: GATEWAY_PATHS.readiness,
  directoryPath: GATEWAY_PATHS.directory,
  readQuestion: query => ({
    host: textOf(query.name),
    failureDomain: failureDomainIdSchema.safeParse(query.zone).data
  }),
  formatAddresses: (addresses, ttlMs) => JSON.stringify({ addresses, ttl: formatDuration(ttlMs) })
}

/** Scheme of the header with a key; its case doesn't matter (RFC 9110, 11.1). */
const BEARER_PATTERN = /^bearer +(\S+) *$/i

function textOf (value: unknown): string | undefined {
  return typeof value === 'string' && value !== '' ? value : undefined
}

function positiveNumberOf (value: unknown): number | undefined {
  const number = Number(textOf(value))
  return Number.isFinite(number) && number > 0 ? number : undefined
}
