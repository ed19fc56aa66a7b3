import type { TargetBehaviour } from './TargetBehaviour.js'

interface LoadSample {
  atMs: number
  load: number
}

const RETENTION_MS = 10_000

/**
 * Past load of a target, from which lagging reports are made.
 * @internal
 */
export class LoadHistory {
  private samples: LoadSample[] = []

  /** Notes the load after a change. */
  record (load: number): void {
    const atMs = performance.now()
    this.samples.push({ atMs, load })
    if ((this.samples[0]?.atMs ?? atMs) < atMs - 2 * RETENTION_MS) {
      this.samples = this.samples.filter(sample => sample.atMs >= atMs - RETENTION_MS)
    }
  }

  /** Returns the load that is reported now, or nothing if none is. */
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
