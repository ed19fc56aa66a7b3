import { Gauge, type Registry } from 'prom-client'
import type { RolloutPhase } from './RolloutOrder.js'
import type { RolloutStatus } from './RolloutManager.js'

const PHASES: readonly RolloutPhase[] = ['running', 'completed', 'rolled-back']

/** Adds the gauges of roll-outs to the metrics. @public */
export function registerRolloutMetrics (registry: Registry, status: () => readonly RolloutStatus[]): void {
  const share: Gauge = new Gauge({
    name: 'carobpitch_rollout_share',
    help: 'Share of the requests of a service for the new version of its last roll-out, as decided.',
    labelNames: ['service', 'version'],
    registers: [registry],
    collect: () => {
      share.reset()
      for (const rollout of status()) share.set({ service: rollout.service, version: rollout.version }, rollout.share)
    }
  })
  const phase: Gauge = new Gauge({
    name: 'carobpitch_rollout_phase',
    help: 'Phase of the last roll-out of a service: 1 for the phase that it is in, 0 for the others.',
    labelNames: ['service', 'version', 'phase'],
    registers: [registry],
    collect: () => {
      phase.reset()
      for (const rollout of status()) {
        for (const each of PHASES) phase.set({ service: rollout.service, version: rollout.version, phase: each }, each === rollout.phase ? 1 : 0)
      }
    }
  })
}
