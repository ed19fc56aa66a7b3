import type { TargetBehaviour } from './TargetBehaviour.js'

interface LoadSample {
  atMs: number
  load: number
}

const RETENTION_MS = 10_000

/**
 * Recent load of a target, for load reports that lag behind.
 * @internal
 */
export class LoadHistory {
  private samples: LoadSample[] = []

  /** Records the load after a change and drops samples that are past the retention time. */
  record (load: number): void {
    const atMs = performance.now()
    this.samples.push({ atMs, load })
    if ((this.samples[0]?.atMs ?? atMs) < atMs - 2 * RETENTION_MS) {
      this.samples = this.samples.filter(sample => sample.atMs >= atMs - RETENTION_MS)
    }
  }

  /** Load to report now, or `undefined` if the target reports none. */
  report (rule: TargetBehaviour['loadReport']): number | undefined {
    switch (rule.kind) {
      case 'none': return undefined
      case 'fixed': return rule.load
      case 'true': return this.loadAt(performance.now())
      case 'lagging': return this.loadAt(performance.now() - rule.byMs)
    }
  }

  private loadAt (atMs: number): number {
    return this.samples.findLast(sample => sample.atMs <= atMs)?.load ?? 0
  }
}
