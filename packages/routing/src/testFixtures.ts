/** Configurations, members and a fake clock for the tests of this package. */
import { install } from '@sinonjs/fake-timers'
import { ConfigurationHolder, type FailureDomainId, type InstanceId, type MemberRecord, type ServiceName, type TargetId, type TenantId } from '@carobpitch/schema'
import type { AttemptOutcome, ScheduleRequest } from './ScheduleRequest.js'

/** Seed of every property test, so that a run gives the same verdict each time. @internal */
export const PROPERTY_SEED = 20_260

/** A fake clock, which only advances when a test moves it. @internal */
export type FakeClock = ReturnType<typeof install>

/** Installs a fake clock that starts at a time other than 0, so that an unset value of 0 differs from a time. @internal */
export function installFakeClock (): FakeClock {
  return install({ now: 1_000_000, shouldClearNativeTimers: true, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] })
}

/** Options of `createConfiguration`. @internal */
export interface FixtureOptions {
  targets: number
  slots?: number
  service?: Record<string, unknown>
}

/** Builds a document of one service `menzaiko` with targets `t1`, `t2`, ... in the domains `d1` to `d3`. @internal */
export function createDocument ({ targets, slots = 3, service = {} }: FixtureOptions) {
  const entries = Array.from({ length: targets }, (_, index) => [`t${index + 1}`, {
    service: 'menzaiko',
    failureDomain: `d${index % 3 + 1}`,
    url: `http://127.0.0.1:${10_001 + index}`,
    slots,
    state: 'in' as 'in' | 'out',
    broughtInRevision: 0
  }] as const)
  return {
    revision: 1,
    services: { menzaiko: service },
    failureDomains: { d1: { state: 'in' }, d2: { state: 'in' }, d3: { state: 'in' } } as Record<string, { state: 'in' | 'out' }>,
    targets: Object.fromEntries(entries)
  }
}

/** Builds a holder that has adopted `createDocument`'s document. @internal */
export function createConfiguration (options: FixtureOptions): ConfigurationHolder {
  const holder = new ConfigurationHolder()
  holder.adopt(createDocument(options)).unwrapOrElse(refusal => { throw new Error(JSON.stringify(refusal)) })
  return holder
}

/** The service of the fixtures. @internal */
export const SERVICE = 'menzaiko' as ServiceName

/** The id of the n-th target. @internal */
export function target (index: number): TargetId {
  return `t${index}` as TargetId
}

/** Builds members `i1`, `i2`, ... spread over a number of domains. @internal */
export function createMembers (count: number, domains = 3): MemberRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    instanceId: `i${index + 1}` as InstanceId,
    incarnation: 1,
    failureDomain: `d${index % domains + 1}` as FailureDomainId,
    callerUrl: `http://127.0.0.1:${20_001 + index}`,
    peerUrl: `http://127.0.0.1:${30_001 + index}`,
    state: 'serving',
    adoptedRevision: 1
  }))
}

/** Builds a request with a deadline one second from now. @internal */
export function createRequest (overrides: Partial<ScheduleRequest> = {}): ScheduleRequest {
  return {
    service: SERVICE,
    tenant: 'a' as TenantId,
    requestClass: 'stock',
    deadlineAtMs: performance.now() + 1_000,
    signal: new AbortController().signal,
    exclude: new Set(),
    ...overrides
  }
}

/** An outcome of a complete response. @internal */
export function answered (elapsedMs = 10): AttemptOutcome {
  return { kind: 'answered', elapsedMs }
}

/** Returns a seeded generator of numbers in [0, 1) (mulberry32). @internal */
export function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state + 0x6d2b79f5) | 0
    let bits = Math.imul(state ^ (state >>> 15), state | 1)
    bits ^= bits + Math.imul(bits ^ (bits >>> 7), bits | 61)
    return ((bits ^ (bits >>> 14)) >>> 0) / 2 ** 32
  }
}
