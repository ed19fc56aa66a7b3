import type { TargetProtocol } from '@carobpitch/gateway'
import type { ResponseHead, TargetOccupancy } from '@carobpitch/proxy'
import { targetIdSchema } from '@carobpitch/schema'
import { WIRE_HEADERS } from './wire.js'

/** Status by which a target reports that a request was meant for another target and did not run. */
const MISDIRECTED_STATUS = 421
const UNAVAILABLE_STATUS = 503
/** Longest rest that a target may ask for, so that one odd header does not take it out of service for good. */
const RETRY_AFTER_MAX_MS = 60_000

/** Protocol between the gateway and the platform's targets. */
export const targetProtocol: TargetProtocol = {
  headersSetPerAttempt: new Set([WIRE_HEADERS.remainingMs, WIRE_HEADERS.expectedTarget]),
  headersSetWithAccounts: new Set([WIRE_HEADERS.remainingMs, WIRE_HEADERS.expectedTarget, WIRE_HEADERS.accountKey, WIRE_HEADERS.account]),
  attemptHeaders: ({ remainingMs, targetId, account }) => [
    WIRE_HEADERS.remainingMs, String(Math.max(1, Math.floor(remainingMs))),
    WIRE_HEADERS.expectedTarget, targetId,
    ...(account === undefined ? [] : [WIRE_HEADERS.account, account])
  ],
  missingRequestId: 'rejected',
  readOwnHeader: (head, key, value) => {
    if (head.status === MISDIRECTED_STATUS) head.reportsNotRun = true
    switch (key) {
      case WIRE_HEADERS.requestId:
        head.requestId = value
        return true
      case WIRE_HEADERS.notRun:
        head.reportsNotRun = true
        return true
      case WIRE_HEADERS.answeringTarget:
        readTargetId(head, value)
        return true
      case WIRE_HEADERS.load:
        readOccupancy(head, value)
        return true
      case WIRE_HEADERS.coldForMs:
        readColdForMs(head, value)
        return true
      case WIRE_HEADERS.targetLeaving:
        if (value === '1') head.reportsLeaving = true
        return true
      case WIRE_HEADERS.retryAfterS:
        readRetryAfter(head, value)
        return true
      default:
        return true
    }
  }
}

function readTargetId (head: ResponseHead, value: string): void {
  const targetId = targetIdSchema.safeParse(value)
  if (targetId.success) head.targetId = targetId.data
}

function readOccupancy (head: ResponseHead, value: string): void {
  const [running, waiting, slots, slowdownPercent = 100] = value.split(',').map(Number)
  if (running === undefined || waiting === undefined || slots === undefined) return
  const occupancy: TargetOccupancy = { running, waiting, slots, slowdown: slowdownPercent / 100 }
  const isReadable = Object.values(occupancy).every(number => Number.isFinite(number) && number >= 0) && slots > 0
  if (isReadable) head.occupancy = occupancy
}

/** A target rests only if it has refused a request; the header has other meanings with other statuses. */
function readRetryAfter (head: ResponseHead, value: string): void {
  const seconds = Number(value)
  if (head.status === UNAVAILABLE_STATUS && seconds > 0) head.retryAfterMs = Math.min(seconds * 1_000, RETRY_AFTER_MAX_MS)
}

function readColdForMs (head: ResponseHead, value: string): void {
  const coldForMs = Number(value)
  if (Number.isFinite(coldForMs) && coldForMs >= 0) head.coldForMs = coldForMs
}
