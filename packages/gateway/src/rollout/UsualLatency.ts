/** Latencies that are kept of a route. */
const KEPT = 48
/** Latencies that are needed before one is called slow. */
const NEEDED = 5
/** Factor above the median from which on an attempt is slow; targets that are cold or nearly full stay below. */
const SLOW_FACTOR = 2.5
/** Routes that are kept. */
const ROUTES_MAX = 500

/**
 * Usual latency of each route at this instance, from which slow attempts are told.
 * @internal
 */
export class UsualLatency {
  private readonly routes = new Map<string, { latenciesMs: number[], next: number, slowFromMs: number | undefined }>()

  record (route: string, elapsedMs: number): void {
    let entry = this.routes.get(route)
    if (entry === undefined) {
      const [oldest] = this.routes.keys()
      if (this.routes.size >= ROUTES_MAX && oldest !== undefined) this.routes.delete(oldest)
      entry = { latenciesMs: [], next: 0, slowFromMs: undefined }
      this.routes.set(route, entry)
    }
    entry.latenciesMs[entry.next] = elapsedMs
    entry.next = (entry.next + 1) % KEPT
    entry.slowFromMs = undefined
  }

  /** Time from which on an attempt is slow; infinite while too little is known. */
  slowFromMs (route: string): number {
    const entry = this.routes.get(route)
    if (entry === undefined || entry.latenciesMs.length < NEEDED) return Infinity
    entry.slowFromMs ??= medianOf(entry.latenciesMs) * SLOW_FACTOR
    return entry.slowFromMs
  }
}

function medianOf (values: readonly number[]): number {
  const sorted = [...values].sort((first, second) => first - second)
  return sorted[Math.floor(sorted.length / 2)] as number
}
