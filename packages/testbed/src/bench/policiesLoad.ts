/** Process of the policy comparison that sends requests in an open loop to the instances on address lists. */
import { Pool } from 'undici'
import { createRandom, drawExponential } from '../replay/random.js'
import type { LoadCommand, LoadResult } from './policiesMessages.js'

const CONNECTIONS_PER_INSTANCE = 256
const REQUEST_TIMEOUT_MS = 5_000
/** Interval at which the clock is checked; all requests that are due are sent together. */
const POLL_INTERVAL_MS = 1

const pools = new Map<string, Pool>()

/** A caller and the instances that it uses. */
interface Caller {
  /** Base URLs in the order of use. */
  list: string[]
  listedUntilMs: number
  keepsInitialList: boolean
  nextIndex: number
}

process.on('message', async (command: LoadCommand) => {
  const result = await runCell(command)
  process.send?.(result)
})
process.on('disconnect', () => process.exit(0))

async function runCell (command: LoadCommand): Promise<LoadResult> {
  const random = createRandom(command.seed)
  const callers = createCallers(command, random)
  await Promise.all(callers.map(async caller => await refreshList(caller, command, random)))
  const result: LoadResult = { kind: 'result', timesMs: { first: [], second: [] }, unanswered: 0 }
  const pending: Array<Promise<void>> = []
  const startedAtMs = performance.now()
  const meanGapMs = 1_000 / command.ratePerSecond
  let dueAtMs = startedAtMs
  while (dueAtMs < startedAtMs + command.warmUpMs + command.durationMs) {
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
    while (dueAtMs <= performance.now()) {
      const isMeasured = dueAtMs >= startedAtMs + command.warmUpMs
      const tenant = random() < command.firstTenantShare ? 'first' : 'second'
      const caller = callers[Math.floor(random() * callers.length)] as Caller
      pending.push(send({ caller, tenant, dueAtMs, command, random, result: isMeasured ? result : undefined }))
      dueAtMs += drawExponential(random, meanGapMs)
    }
  }
  await Promise.all(pending)
  return result
}

function createCallers ({ instanceUrls, mix }: LoadCommand, random: () => number): Caller[] {
  return Array.from({ length: mix.callers }, (_, index) => {
    const hasStaleList = index < mix.callers * mix.oldListShare
    const isUnsteered = !hasStaleList && index < mix.callers * (mix.oldListShare + mix.unsteeredShare)
    const shuffled = instanceUrls.map(url => ({ url, key: random() })).sort((first, second) => first.key - second.key).map(({ url }) => url)
    const list = hasStaleList ? shuffled.slice(0, 3) : shuffled
    return { list, listedUntilMs: 0, keepsInitialList: hasStaleList || isUnsteered, nextIndex: 0 }
  })
}

async function refreshList (caller: Caller, { instanceUrls }: LoadCommand, random: () => number): Promise<void> {
  if (caller.keepsInitialList) return
  const source = instanceUrls[Math.floor(random() * instanceUrls.length)] ?? ''
  caller.listedUntilMs = Infinity
  const response = await getPool(source).request({ method: 'GET', path: '/.carobpitch/instances?service=menzaiko' })
  const { instances, ttlMs } = await response.body.json() as { instances: Array<{ url: string }>, ttlMs: number }
  caller.list = instances.map(({ url }) => url)
  caller.listedUntilMs = performance.now() + ttlMs
}

/** Returns the instance for the next request: the first of the list, or round-robin for a list that is not refreshed. */
function pickInstance (caller: Caller): string {
  const index = caller.keepsInitialList ? caller.nextIndex++ % caller.list.length : 0
  return caller.list[index] ?? ''
}

async function send ({ caller, tenant, dueAtMs, command, random, result }: {
  caller: Caller, tenant: 'first' | 'second', dueAtMs: number, command: LoadCommand, random: () => number, result: LoadResult | undefined
}): Promise<void> {
  if (performance.now() > caller.listedUntilMs) refreshList(caller, command, random)
  let elapsedMs = REQUEST_TIMEOUT_MS
  try {
    const response = await getPool(pickInstance(caller)).request({
      method: 'GET',
      path: '/stock',
      headers: { 'carobpitch-service': 'menzaiko', 'carobpitch-tenant': tenant }
    })
    await response.body.dump()
    if (response.statusCode === 200) elapsedMs = performance.now() - dueAtMs
    else if (result !== undefined) result.unanswered += 1
  } catch {
    if (result !== undefined) result.unanswered += 1
  }
  result?.timesMs[tenant].push(elapsedMs)
}

function getPool (url: string): Pool {
  let pool = pools.get(url)
  if (pool === undefined) {
    pool = new Pool(url, { connections: CONNECTIONS_PER_INSTANCE, pipelining: 1, headersTimeout: REQUEST_TIMEOUT_MS, bodyTimeout: REQUEST_TIMEOUT_MS })
    pools.set(url, pool)
  }
  return pool
}
