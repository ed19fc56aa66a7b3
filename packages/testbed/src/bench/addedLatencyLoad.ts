import { build, type Histogram } from 'hdr-histogram-js'
import { Pool, type Dispatcher } from 'undici'

/** Number of requests before a measurement, so that connections are open and code is compiled. @internal */
export const WARM_UP_REQUESTS = 200
const CONNECTIONS_MAX = 64

/**
 * A load pattern: one caller that waits for each response, or random arrivals at a mean rate.
 * @internal
 */
export type Load = { kind: 'one-caller' } | { kind: 'open-loop', perSecond: number }

/**
 * Result of one measurement; latencies in microseconds.
 * @internal
 */
export interface LoadResult {
  histogram: Histogram
  /** Requests without a 200 response, by status and reason. */
  failures: Map<string, number>
}

/** Formats the name of a load for reports. @internal */
export function formatLoad (load: Load): string {
  return load.kind === 'one-caller' ? '1 caller' : `${load.perSecond}/s`
}

/** Sends load to a base URL for a fixed duration and records the latencies. @internal */
export async function offerLoad (url: string, load: Load, durationMs: number): Promise<LoadResult> {
  const pool = new Pool(url, { connections: load.kind === 'one-caller' ? 1 : CONNECTIONS_MAX, pipelining: 1 })
  const result: LoadResult = { histogram: build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 }), failures: new Map() }
  for (let count = 0; count < WARM_UP_REQUESTS; count += 1) await call(pool)
  if (load.kind === 'one-caller') await runOneCaller(pool, durationMs, result)
  else await runOpenLoop(pool, load.perSecond, durationMs, result)
  await pool.close()
  return result
}

async function runOneCaller (pool: Pool, durationMs: number, result: LoadResult): Promise<void> {
  const endAtMs = performance.now() + durationMs
  while (performance.now() < endAtMs) {
    const startedAtMs = performance.now()
    record(result, await call(pool), startedAtMs)
  }
}

/**
 * Measures latency from the intended arrival, so that the delay of a request that is sent late is included.
 * Checks for due arrivals at each turn of the event loop, because timers are only accurate to a millisecond.
 */
async function runOpenLoop (pool: Pool, perSecond: number, durationMs: number, result: LoadResult): Promise<void> {
  const endAtMs = performance.now() + durationMs
  let nextAtMs = performance.now()
  let pending = 0
  while (nextAtMs < endAtMs || pending > 0) {
    while (nextAtMs < endAtMs && performance.now() >= nextAtMs) {
      const arrivalAtMs = nextAtMs
      pending += 1
      call(pool).then(failure => {
        pending -= 1
        record(result, failure, arrivalAtMs)
      })
      nextAtMs += -Math.log(1 - Math.random()) * 1_000 / perSecond
    }
    await new Promise(setImmediate)
  }
}

function record ({ histogram, failures }: LoadResult, failure: string | undefined, startedAtMs: number): void {
  if (failure === undefined) histogram.recordValue(Math.max(1, Math.round((performance.now() - startedAtMs) * 1_000)))
  else failures.set(failure, (failures.get(failure) ?? 0) + 1)
}

/** Resolves to `undefined` for a complete 200 response, otherwise to a description of the failure. */
async function call (pool: Pool): Promise<string | undefined> {
  return await new Promise(resolve => pool.dispatch({ method: 'GET', path: '/stock/42', headers: REQUEST_HEADERS }, new ResponseHandler(resolve)))
}

const REQUEST_HEADERS = ['carobpitch-service', 'menzaiko', 'carobpitch-tenant', 'shop-7', 'accept', 'application/json', 'user-agent', 'bench']

class ResponseHandler implements Dispatcher.DispatchHandler {
  private readonly resolve: (failure: string | undefined) => void
  private failure: string | undefined

  constructor (resolve: (failure: string | undefined) => void) {
    this.resolve = resolve
  }

  onConnect (): void {}

  onHeaders (status: number, headers: Buffer[]): boolean {
    if (status === 200) return true
    const name = headers.findIndex(text => text.toString() === 'carobpitch-reason')
    this.failure = `${status} ${name < 0 ? '' : headers[name + 1]?.toString()}`
    return true
  }

  onData (): boolean {
    return true
  }

  onComplete (): void {
    this.resolve(this.failure)
  }

  onError (error: Error): void {
    this.resolve(error.message)
  }
}
