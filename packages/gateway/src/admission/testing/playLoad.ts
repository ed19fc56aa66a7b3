import type { AccountName, ServiceName } from '@carobpitch/schema'
import type { Clock } from '@sinonjs/fake-timers'
import type { DispatchRequest } from '../../dispatch/DispatchRequest.js'
import type { FleetCounters } from '../../fleet/FleetCounters.js'
import { ServiceAdmission, type ServiceClaimants } from '../ServiceAdmission.js'

/** Length of the window of the counted rates, and age of the sums. */
const RATE_WINDOW_MS = 1_000
const SUMS_AGE_MS = 300
/** Share of the objective for which a request waits for a slot, as in `ServiceDispatcher`. */
const WAIT_SHARE_OF_OBJECTIVE = 0.4
/** Share of its remaining time up to which a caller waits as it is told. */
const HONOURED_SHARE = 1 / 3

/** Requests of one kind that arrive at an even rate. */
export interface Stream {
  name: string
  priority: number
  account?: AccountName
  workMs: number
  objectiveMs: number
  deadlineMs: number
  perS: number
  fromMs?: number
  untilMs?: number
  /** How often a refused caller returns. */
  repeats?: number
  /** Whether it waits as it was told, or returns at once. */
  isPatient?: boolean
  /** Instances, out of 0 to `instances` - 1, that the requests reach. */
  reaches?: readonly number[]
}

/** What became of the callers of a stream. */
export interface StreamOutcome { asked: number, served: number, late: number, refused: number, turnedAway: number }

interface Arrival { atMs: number, stream: Stream, firstAtMs: number, repeatsLeft: number, instance: number }

/** Counters of a fleet whose sums are `SUMS_AGE_MS` old. */
class FakeCounters implements FleetCounters {
  private readonly added = new Map<string, Array<{ atMs: number, amount: number }>>()
  add (name: string, amount: number): void {
    const entries = this.added.get(name) ?? []
    this.added.set(name, entries)
    entries.push({ atMs: performance.now(), amount })
  }

  ratePerS (name: string): number {
    const untilMs = performance.now() - SUMS_AGE_MS
    const entries = this.added.get(name)?.filter(({ atMs }) => atMs > untilMs - RATE_WINDOW_MS && atMs <= untilMs) ?? []
    return entries.reduce((sum, { amount }) => sum + amount, 0) * 1_000 / RATE_WINDOW_MS
  }

  total = (): number => 0
  ageMs = (): number => SUMS_AGE_MS
  instanceCount = (): number => 1
  onRefresh = (): () => void => () => {}
}

/** Options of `playLoad`. */
export interface PlayLoadOptions {
  clock: Clock
  streams: readonly Stream[]
  slots: number
  instances?: number
  /** Whether requests give way; without, they take slots in the order of their arrival, as before. */
  givesWay: boolean
  weights?: ReadonlyMap<AccountName, number>
  random: () => number
  durationMs?: number
}

/** Plays streams of requests against the slots of one service and counts what became of their callers. */
export function playLoad ({ clock, streams, slots, instances = 20, givesWay, weights = new Map(), random, durationMs = 10_000 }: PlayLoadOptions): Map<string, StreamOutcome> {
  const counters = new FakeCounters()
  const slotsFreeAtMs = new Array<number>(slots).fill(0)
  const startMs = performance.now()
  const claimants: ServiceClaimants = { priorities: [...new Set(streams.map(({ priority }) => priority))].sort(), accounts: { weights, groupOf: account => account } }
  const admissions = Array.from({ length: instances }, () => new ServiceAdmission({
    service: 'service' as ServiceName,
    counters,
    claimants: () => claimants,
    room: () => ({ roomMsPerS: slots * 1_000, freeShare: slotsFreeAtMs.filter(atMs => atMs <= performance.now() - startMs).length / slots }),
    speedsSince: () => [],
    log: { info: () => {}, warn: () => {}, error: () => {} } as never,
    random
  }))
  const outcomes = new Map(streams.map(({ name }) => [name, { asked: 0, served: 0, late: 0, refused: 0, turnedAway: 0 }]))
  const arrivals = streams.flatMap(stream => arrivalsOf(stream, instances, durationMs, random))
  while (arrivals.length > 0) {
    arrivals.sort((first, second) => second.atMs - first.atMs)
    const arrival = arrivals.pop() as Arrival
    const { stream, atMs, firstAtMs, instance } = arrival
    const outcome = outcomes.get(stream.name) as StreamOutcome
    if (atMs > performance.now() - startMs) clock.tick(atMs - (performance.now() - startMs))
    if (atMs === firstAtMs) outcome.asked += 1
    const nowMs = performance.now() - startMs
    const refusal = givesWay ? admissions[instance]?.consider(requestOf(arrival, startMs), stream.workMs) : undefined
    const slot = slotsFreeAtMs.indexOf(Math.min(...slotsFreeAtMs))
    const beginMs = Math.max(nowMs, slotsFreeAtMs[slot] as number)
    const hasRoom = beginMs - nowMs <= stream.objectiveMs * WAIT_SHARE_OF_OBJECTIVE
    if (refusal === undefined && hasRoom) {
      slotsFreeAtMs[slot] = beginMs + stream.workMs
      outcome.served += 1
      if (beginMs + stream.workMs - firstAtMs > stream.objectiveMs) outcome.late += 1
      continue
    }
    if (refusal !== undefined) outcome.turnedAway += 1
    const leftMs = firstAtMs + stream.deadlineMs - nowMs
    const pauseMs = stream.isPatient === false ? 5 : Math.min(refusal?.retryAfterMs ?? 50, leftMs * HONOURED_SHARE)
    if (arrival.repeatsLeft > 0 && leftMs > pauseMs) arrivals.push({ ...arrival, atMs: nowMs + pauseMs, repeatsLeft: arrival.repeatsLeft - 1, instance: pick(stream, instances, random) })
    else outcome.refused += 1
  }
  return outcomes
}

function arrivalsOf (stream: Stream, instances: number, durationMs: number, random: () => number): Arrival[] {
  const { perS, fromMs = 0, untilMs = durationMs, repeats = 1 } = stream
  const count = Math.round(perS * (untilMs - fromMs) / 1_000)
  return Array.from({ length: count }, (_, index) => {
    const atMs = fromMs + (index + random()) * 1_000 / perS
    return { atMs, firstAtMs: atMs, stream, repeatsLeft: repeats, instance: pick(stream, instances, random) }
  })
}

function pick ({ reaches }: Stream, instances: number, random: () => number): number {
  const choices = reaches ?? Array.from({ length: instances }, (_, index) => index)
  return choices[Math.floor(random() * choices.length)] as number
}

function requestOf ({ stream, firstAtMs }: Arrival, startMs: number): DispatchRequest {
  const { priority, account, objectiveMs, deadlineMs, name } = stream
  return {
    service: 'service' as ServiceName,
    route: name,
    account,
    accepts: () => true,
    priority,
    arrivedAtMs: performance.now(),
    objectiveMs,
    deadlineAtMs: startMs + firstAtMs + deadlineMs,
    exclude: new Set(),
    signal: new AbortController().signal
  }
}
