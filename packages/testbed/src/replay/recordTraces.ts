/**
 * Generates the traces of this directory from seeded random traffic of the two deployments.
 * Usage: node packages/testbed/dist/replay/recordTraces.js
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import type { RequestClass } from '@carobpitch/schema'
import { createRandom, drawExponential } from './random.js'
import { formatTrace, type ExpectedOutcome, type Trace, type TraceDomainEvent, type TraceHead, type TraceRequest, type TraceTargetEvent } from './Trace.js'

const DIRECTORY = fileURLToPath(new URL('../../src/replay/traces/', import.meta.url))

/** A stream of requests with exponentially distributed times between arrivals. */
interface RequestStream {
  service: string
  tenant: string
  class: RequestClass
  idempotent: boolean
  ratePerSecond: number
  serviceTimeMs: number
  fromMs?: number
  untilMs?: number
}

interface Recording {
  head: Omit<TraceHead, 'kind'>
  durationMs: number
  streams: RequestStream[]
  events: Array<TraceTargetEvent | TraceDomainEvent>
  outcomes: ExpectedOutcome[]
}

const HAKATA_DOMAINS = ['fukuoka', 'kumamoto', 'kagoshima']
const GANGASAGAR_DOMAINS = ['kolkata', 'siliguri', 'durgapur']

const COMMON_OUTCOMES: ExpectedOutcome[] = [{ kind: 'outcome', check: 'at-most-once' }, { kind: 'outcome', check: 'true-refusal' }]

const RECORDINGS: Recording[] = [
  {
    head: {
      name: 'hakata-straggler',
      deployment: 'hakata',
      description: 'A chumon target is five times slower for two seconds. It is neither taken for cold nor may it decide the latency of all.',
      seed: 11,
      instances: 3,
      services: { chumon: { requestClass: 'booking' } },
      failureDomains: HAKATA_DOMAINS,
      targets: createTargets('chumon', 6, 3, HAKATA_DOMAINS)
    },
    durationMs: 5_000,
    streams: [
      { service: 'chumon', tenant: 'shops', class: 'booking', idempotent: false, ratePerSecond: 90, serviceTimeMs: 40 },
      { service: 'chumon', tenant: 'shops', class: 'stock', idempotent: true, ratePerSecond: 90, serviceTimeMs: 40 }
    ],
    events: [
      { kind: 'target', atMs: 1_500, targetId: 'chumon-2', event: 'straggle', factor: 5 },
      { kind: 'target', atMs: 3_500, targetId: 'chumon-2', event: 'straggle', factor: 1 }
    ],
    outcomes: [
      ...COMMON_OUTCOMES,
      { kind: 'outcome', check: 'cold-turns', targetId: 'chumon-2', atLeast: 0, atMost: 0 },
      { kind: 'outcome', check: 'p99-ms', atMost: 260 },
      { kind: 'outcome', check: 'answered-share', atLeast: 1 }
    ]
  },
  {
    head: {
      name: 'hakata-cold-turn',
      deployment: 'hakata',
      description: 'A menzaiko target turns cold without warning. It gets one request at a time within a few requests and fails few bookings.',
      seed: 12,
      instances: 3,
      services: { menzaiko: { requestClass: 'stock', coldSuccessesPerStep: 25 } },
      failureDomains: HAKATA_DOMAINS,
      targets: createTargets('menzaiko', 5, 3, HAKATA_DOMAINS)
    },
    durationMs: 4_000,
    streams: [{ service: 'menzaiko', tenant: 'shops', class: 'stock', idempotent: true, ratePerSecond: 220, serviceTimeMs: 30 }],
    events: [{ kind: 'target', atMs: 1_500, targetId: 'menzaiko-3', event: 'cold', factor: 12, requests: 10 }],
    outcomes: [
      ...COMMON_OUTCOMES,
      { kind: 'outcome', check: 'cold-turns', targetId: 'menzaiko-3', atLeast: 1, atMost: 1 },
      { kind: 'outcome', check: 'in-flight', targetId: 'menzaiko-3', fromMs: 1_750, untilMs: 4_000, atMost: 1 },
      { kind: 'outcome', check: 'p99-ms', atMost: 200 },
      { kind: 'outcome', check: 'answered-share', atLeast: 0.99 }
    ]
  },
  {
    head: {
      name: 'hakata-domain-out',
      deployment: 'hakata',
      description: 'Operators take Kumamoto out. Its targets get no new work at once and no request is lost.',
      seed: 13,
      instances: 3,
      services: { haiso: { requestClass: 'ledger' } },
      failureDomains: HAKATA_DOMAINS,
      targets: createTargets('haiso', 8, 3, HAKATA_DOMAINS)
    },
    durationMs: 3_500,
    streams: [{ service: 'haiso', tenant: 'shops', class: 'ledger', idempotent: true, ratePerSecond: 200, serviceTimeMs: 50 }],
    events: [{ kind: 'domain', atMs: 1_500, failureDomain: 'kumamoto', state: 'out' }],
    outcomes: [
      ...COMMON_OUTCOMES,
      ...['haiso-2', 'haiso-5', 'haiso-8'].map((targetId): ExpectedOutcome => ({ kind: 'outcome', check: 'no-start', targetId, fromMs: 1_501, untilMs: 10_000 })),
      { kind: 'outcome', check: 'answered-share', atLeast: 1 }
    ]
  },
  {
    head: {
      name: 'gangasagar-noisy-tenant',
      deployment: 'gangasagar',
      description: 'One bottler sends three times what the shared order desk bears, for one second. The others keep their bookings and their latency.',
      seed: 14,
      instances: 3,
      services: { 'order-desk': { requestClass: 'booking', queueMax: 60, tenantQueueMax: 40 } },
      failureDomains: GANGASAGAR_DOMAINS,
      targets: createTargets('order-desk', 3, 6, GANGASAGAR_DOMAINS)
    },
    durationMs: 3_000,
    streams: [
      ...['bottler-b', 'bottler-c', 'bottler-d'].map((tenant): RequestStream => ({ service: 'order-desk', tenant, class: 'booking', idempotent: false, ratePerSecond: 25, serviceTimeMs: 60 })),
      { service: 'order-desk', tenant: 'bottler-a', class: 'booking', idempotent: false, ratePerSecond: 25, serviceTimeMs: 60 },
      { service: 'order-desk', tenant: 'bottler-a', class: 'booking', idempotent: false, ratePerSecond: 700, serviceTimeMs: 60, fromMs: 1_000, untilMs: 2_000 }
    ],
    events: [],
    outcomes: [
      ...COMMON_OUTCOMES,
      ...['bottler-b', 'bottler-c', 'bottler-d'].flatMap((tenant): ExpectedOutcome[] => [
        { kind: 'outcome', check: 'answered-share', tenant, atLeast: 1 },
        { kind: 'outcome', check: 'p99-wait-ms', tenant, atMost: 320 }
      ])
    ]
  },
  {
    head: {
      name: 'gangasagar-drain-restart',
      deployment: 'gangasagar',
      description: 'A ledger-hub target drains, and another is killed and comes back cold. Neither loses a repeatable request; the first gets nothing after its signal.',
      seed: 15,
      instances: 3,
      services: { 'ledger-hub': { requestClass: 'ledger' } },
      failureDomains: GANGASAGAR_DOMAINS,
      targets: createTargets('ledger-hub', 6, 6, GANGASAGAR_DOMAINS)
    },
    durationMs: 4_000,
    streams: [{ service: 'ledger-hub', tenant: 'bottler-a', class: 'ledger', idempotent: true, ratePerSecond: 200, serviceTimeMs: 60 }],
    events: [
      { kind: 'target', atMs: 1_000, targetId: 'ledger-hub-1', event: 'drain' },
      { kind: 'target', atMs: 1_500, targetId: 'ledger-hub-2', event: 'stop' },
      { kind: 'target', atMs: 2_500, targetId: 'ledger-hub-2', event: 'start', requests: 10 }
    ],
    outcomes: [
      ...COMMON_OUTCOMES,
      { kind: 'outcome', check: 'no-start', targetId: 'ledger-hub-1', fromMs: 1_400, untilMs: 10_000 },
      { kind: 'outcome', check: 'cold-turns', targetId: 'ledger-hub-2', atLeast: 1, atMost: 1 },
      { kind: 'outcome', check: 'in-flight', targetId: 'ledger-hub-2', fromMs: 3_300, untilMs: 4_000, atMost: 1 },
      { kind: 'outcome', check: 'p99-ms', atMost: 400 },
      { kind: 'outcome', check: 'answered-share', atLeast: 0.99 }
    ]
  }
]

mkdirSync(DIRECTORY, { recursive: true })
for (const recording of RECORDINGS) {
  const trace = createTrace(recording)
  writeFileSync(`${DIRECTORY}${trace.head.name}.jsonl`, formatTrace(trace))
}

function createTrace ({ head, durationMs, streams, events, outcomes }: Recording): Trace {
  const random = createRandom(head.seed)
  const requests = streams.flatMap(stream => generateRequests(stream, durationMs, random))
  const merged = [...events, ...requests].sort((first, second) => first.atMs - second.atMs)
  return { head: { kind: 'head', ...head }, events: merged, outcomes }
}

function generateRequests ({ ratePerSecond, fromMs = 0, untilMs, serviceTimeMs, ...stream }: RequestStream, durationMs: number, random: () => number): TraceRequest[] {
  const requests: TraceRequest[] = []
  const endMs = untilMs ?? durationMs
  for (let atMs = fromMs + drawExponential(random, 1_000 / ratePerSecond); atMs < endMs; atMs += drawExponential(random, 1_000 / ratePerSecond)) {
    requests.push({ kind: 'request', atMs: Math.round(atMs), ...stream, serviceTimeMs: Math.max(1, Math.round(drawExponential(random, serviceTimeMs))) })
  }
  return requests
}

function createTargets (service: string, count: number, slots: number, failureDomains: readonly string[]): TraceHead['targets'] {
  return Object.fromEntries(Array.from({ length: count }, (_, index) => [`${service}-${index + 1}`, {
    service,
    failureDomain: failureDomains[index % failureDomains.length] ?? '',
    slots
  }]))
}
