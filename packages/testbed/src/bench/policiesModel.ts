/**
 * Compares routing policies in a simulation on a fake clock: real schedulers, modelled targets, no network and no CPU time.
 * Results are the same on every machine, which separates the effect of a policy from that of a busy machine.
 * Usage: node packages/testbed/dist/bench/policiesModel.js
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { install } from '@sinonjs/fake-timers'
import { chooseLeastInFlight, chooseLeastInFlightRandomTies, chooseRandom, chooseTwoChoices, type RoutingPolicy, type Scheduler } from '@carobpitch/routing'
import type { ServiceName, TenantId } from '@carobpitch/schema'
import { createRandom, drawExponential } from '../replay/random.js'
import { ReplayFleet } from '../replay/ReplayFleet.js'
import { ReplayTarget } from '../replay/ReplayTarget.js'
import type { TraceHead } from '../replay/Trace.js'
import type { Variant } from './policiesMessages.js'
import { formatReport, evaluateGoals, computePercentile, type CellResult } from './policiesReport.js'

const TARGET_COUNT = 10
const SLOTS_PER_TARGET = 3
const MEAN_SERVICE_TIME_MS = 10
const FULL_RATE_PER_SECOND = TARGET_COUNT * SLOTS_PER_TARGET * 1_000 / MEAN_SERVICE_TIME_MS
const STRAGGLER_FACTOR = 5
const STRAGGLER_PERIOD_MS = 2_000
const WARM_UP_MS = 1_000
const MEASUREMENT_DURATION_MS = 8_000
const DEADLINE_MS = 5_000
const SETTLE_MS = 6_000
const INSTANCE_COUNT = 15
const STEERED_INSTANCE_COUNT = 3
/** Share of requests from callers that have stale lists or use all instances. */
const UNSTEERED_SHARE = 0.3
const SEED = 1

const POLICIES: Record<Variant, { policy: RoutingPolicy, instances: number }> = {
  random: { policy: chooseRandom, instances: INSTANCE_COUNT },
  'two-choices': { policy: chooseTwoChoices, instances: INSTANCE_COUNT },
  'least-in-flight': { policy: chooseLeastInFlight, instances: INSTANCE_COUNT },
  'random-ties': { policy: chooseLeastInFlightRandomTies, instances: INSTANCE_COUNT },
  steered: { policy: chooseLeastInFlight, instances: STEERED_INSTANCE_COUNT },
  'shared-queue': { policy: chooseLeastInFlight, instances: 1 }
}

const clock = install({ now: 1_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] })
const results: CellResult[] = []
for (const loadPercent of [50, 70, 85]) {
  for (const scenario of ['even', 'straggler', 'old-lists'] as const) {
    for (const variant of Object.keys(POLICIES) as Variant[]) {
      if (scenario === 'old-lists' && variant !== 'steered' && variant !== 'least-in-flight') continue
      results.push(await runCell(scenario, loadPercent, variant))
    }
  }
}
clock.uninstall()
const command = 'node packages/testbed/dist/bench/policiesModel.js'
const goals = evaluateGoals(results)
const directory = fileURLToPath(new URL('../../../../reports/', import.meta.url))
mkdirSync(directory, { recursive: true })
writeFileSync(`${directory}policies-model.json`, JSON.stringify({ command, results, goals }, undefined, 2) + '\n')
writeFileSync(`${directory}policies-model.md`, formatReport(command, results, goals))
console.log(formatReport(command, results, goals))

async function runCell (scenario: 'even' | 'straggler' | 'old-lists', loadPercent: number, variant: Variant): Promise<CellResult> {
  const { policy, instances } = POLICIES[variant]
  const random = createRandom(SEED)
  // A separate generator, so that all cells of a load have the same arrivals and service times.
  const routingRandom = createRandom(SEED + 2)
  const targets = new Map(Array.from({ length: TARGET_COUNT }, (_, index) => [`t${index + 1}`, new ReplayTarget(`t${index + 1}`, SLOTS_PER_TARGET)]))
  const fleet = new ReplayFleet(createTraceHead(scenario === 'old-lists' ? INSTANCE_COUNT : instances), createRandom(SEED + 1), async ({ targetId }) => await (targets.get(targetId) as ReplayTarget).probe(), policy)
  const times: number[] = []
  let unanswered = 0
  const startedAtMs = performance.now()
  const endMs = startedAtMs + WARM_UP_MS + MEASUREMENT_DURATION_MS
  for (let dueAtMs = startedAtMs; dueAtMs < endMs; dueAtMs += drawExponential(random, 100_000 / FULL_RATE_PER_SECOND / loadPercent)) {
    if (dueAtMs > performance.now()) await clock.tickAsync(Math.ceil(dueAtMs - performance.now()))
    const period = Math.floor((performance.now() - startedAtMs) / STRAGGLER_PERIOD_MS)
    if (scenario === 'straggler') targets.get('t1')?.apply({ kind: 'target', atMs: 0, targetId: 't1', event: 'straggle', factor: period % 2 === 0 ? STRAGGLER_FACTOR : 1 })
    const usesAllInstances = scenario !== 'old-lists' || variant === 'least-in-flight' || routingRandom() < UNSTEERED_SHARE
    const schedulers = usesAllInstances ? fleet.schedulers : fleet.schedulers.slice(0, STEERED_INSTANCE_COUNT)
    const scheduler = schedulers[Math.floor(routingRandom() * schedulers.length)] as Scheduler
    send(scheduler, drawExponential(random, MEAN_SERVICE_TIME_MS), dueAtMs - startedAtMs >= WARM_UP_MS)
  }
  await clock.tickAsync(SETTLE_MS)
  fleet.stop()
  const p99Ms = computePercentile(times, 0.99)
  return { scenario, loadPercent, variant, requests: times.length, unanswered, p50Ms: computePercentile(times, 0.5), p99Ms, roundP99Ms: [p99Ms], p99MsByTenant: { first: p99Ms, second: p99Ms } }

  async function send (scheduler: Scheduler, serviceTimeMs: number, isMeasured: boolean): Promise<void> {
    const sentAtMs = performance.now()
    const granted = await scheduler.acquire({
      service: 's' as ServiceName,
      tenant: 'a' as TenantId,
      requestClass: 'stock',
      deadlineAtMs: sentAtMs + DEADLINE_MS,
      signal: new AbortController().signal,
      exclude: new Set()
    })
    if (granted.isOk) {
      const { target, release } = granted.value
      release(await (targets.get(target.targetId) as ReplayTarget).send(0, serviceTimeMs))
    }
    if (!isMeasured) return
    if (granted.isErr) unanswered += 1
    times.push(granted.isOk ? performance.now() - sentAtMs : DEADLINE_MS)
  }
}

function createTraceHead (instances: number): TraceHead {
  return {
    kind: 'head',
    name: 'policies',
    deployment: 'hakata',
    description: '',
    seed: SEED,
    instances,
    services: { s: { queueMax: 5_000, tenantQueueMax: 5_000 } },
    failureDomains: ['d1', 'd2', 'd3'],
    targets: Object.fromEntries(Array.from({ length: TARGET_COUNT }, (_, index) => [`t${index + 1}`, { service: 's', failureDomain: `d${index % 3 + 1}`, slots: SLOTS_PER_TARGET }]))
  }
}
