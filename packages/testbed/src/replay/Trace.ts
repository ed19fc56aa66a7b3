/** Format of recorded traces: JSON lines with a head, requests, target and failure domain events, and expected outcomes. */
import type { RequestClass } from '@carobpitch/schema'

/**
 * First line of a trace: the deployment for which it was recorded.
 * @public
 */
export interface TraceHead {
  kind: 'head'
  name: string
  deployment: string
  /** The scenario, and the failures that the expected outcomes guard against. */
  description: string
  /** Seed of the random numbers of the replay. */
  seed: number
  /** Number of instances that callers are steered to; requests are distributed over them round-robin. */
  instances: number
  services: Record<string, Record<string, unknown>>
  failureDomains: string[]
  targets: Record<string, { service: string, failureDomain: string, slots: number }>
}

/**
 * A request as it arrived.
 * @public
 */
export interface TraceRequest {
  kind: 'request'
  atMs: number
  service: string
  tenant: string
  class: RequestClass
  idempotent: boolean
  /** Time that the request needs in a slot of a warm target. */
  serviceTimeMs: number
}

/**
 * An event at a target.
 *
 * - `straggle`: service times are multiplied by `factor`; 1 ends it.
 * - `cold`: the next `requests` requests take `factor` times as long, and concurrent requests beyond the first fail.
 * - `drain`: responses announce draining from now on.
 * - `stop`: connections are refused. `start`: accepted again; the target is cold.
 * @public
 */
export interface TraceTargetEvent {
  kind: 'target'
  atMs: number
  targetId: string
  event: 'straggle' | 'cold' | 'drain' | 'stop' | 'start'
  factor?: number
  requests?: number
}

/**
 * An operator's change of a failure domain, which every instance applies at this time.
 * @public
 */
export interface TraceDomainEvent {
  kind: 'domain'
  atMs: number
  failureDomain: string
  state: 'in' | 'out'
}

/**
 * A condition that the replay must meet.
 * @public
 */
export type ExpectedOutcome =
  /** Share of the requests of a class (or all) that are answered. */
  | { kind: 'outcome', check: 'answered-share', class?: RequestClass, tenant?: string, atLeast: number }
  /** 99th percentile of the response time of answered requests. */
  | { kind: 'outcome', check: 'p99-ms', class?: RequestClass, tenant?: string, fromMs?: number, atMost: number }
  /** 99th percentile of the response time beyond the request's own service time. */
  | { kind: 'outcome', check: 'p99-wait-ms', class?: RequestClass, tenant?: string, fromMs?: number, atMost: number }
  /** No request starts at the target in the period. */
  | { kind: 'outcome', check: 'no-start', targetId: string, fromMs: number, untilMs: number }
  /** Maximum number of concurrent requests at the target in the period. */
  | { kind: 'outcome', check: 'in-flight', targetId: string, fromMs: number, untilMs: number, atMost: number }
  /** Number of times that the target was detected to have turned cold. */
  | { kind: 'outcome', check: 'cold-turns', targetId: string, atLeast: number, atMost: number }
  /** No non-idempotent request starts twice. */
  | { kind: 'outcome', check: 'at-most-once' }
  /** No request that ends with `not-run` has started at a target. */
  | { kind: 'outcome', check: 'true-refusal' }

/** One line of a trace. @public */
export type TraceLine = TraceHead | TraceRequest | TraceTargetEvent | TraceDomainEvent | ExpectedOutcome

/**
 * A parsed trace.
 * @public
 */
export interface Trace {
  head: TraceHead
  /** Requests and events in order of time. */
  events: Array<TraceRequest | TraceTargetEvent | TraceDomainEvent>
  outcomes: ExpectedOutcome[]
}

/**
 * Parses a trace.
 * @throws Error that names the invalid line.
 * @public
 */
export function parseTrace (text: string): Trace {
  const lines = text.split('\n').filter(line => line !== '').map(parseLine)
  const [head, ...rest] = lines
  if (head?.kind !== 'head') throw new Error('line 1: a trace must start with its head')
  const events: Trace['events'] = []
  const outcomes: ExpectedOutcome[] = []
  for (const line of rest) {
    switch (line.kind) {
      case 'head': throw new Error('a trace must not have more than one head')
      case 'outcome': outcomes.push(line)
        break
      case 'request':
      case 'target':
      case 'domain': events.push(line)
    }
  }
  events.sort((first, second) => first.atMs - second.atMs)
  return { head, events, outcomes }
}

/** Writes a trace as JSON lines. @public */
export function formatTrace ({ head, events, outcomes }: Trace): string {
  return [head, ...events, ...outcomes].map(line => JSON.stringify(line) + '\n').join('')
}

function parseLine (line: string, index: number): TraceLine {
  const value = JSON.parse(line) as Partial<TraceLine>
  const kinds: ReadonlyArray<TraceLine['kind']> = ['head', 'request', 'target', 'domain', 'outcome']
  if (value.kind === undefined || !kinds.includes(value.kind)) throw new Error(`line ${index + 1}: unknown kind ${String(value.kind)}`)
  const isTimed = value.kind !== 'head' && value.kind !== 'outcome'
  if (isTimed && typeof (value as TraceRequest).atMs !== 'number') throw new Error(`line ${index + 1}: atMs is missing`)
  return value as TraceLine
}
