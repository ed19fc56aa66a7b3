#!/usr/bin/env node
/**
 * Reports how a deployment serves its callers while a failure domain is taken out and returned, from the evidence of a caller load.
 * `bash scripts/demo.sh --report` runs a load for both deployments and then this program.
 */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { Command } from 'commander'
import { checkEvidence } from '../checks/checkEvidence.js'
import type { Evidence } from '../checks/Evidence.js'
import type { OperatorEvent } from '../deployment/OperatorEvent.js'
import { countFailures } from './countFailures.js'
import { formatSummary } from './formatSummary.js'
import { summarisePhases } from './phases.js'
import { plotSvg } from './plotSvg.js'
import { buildTimeline } from './timeline.js'

interface RecordedRun {
  evidence: Evidence
  events: OperatorEvent[]
  skippedCount: number
}

const options = new Command('domain-out')
  .requiredOption('--evidence <file>', 'evidence written by the caller load')
  .requiredOption('--name <name>', 'name of the deployment')
  .option('--reports <directory>', 'directory for the JSON report and the plot; nothing is written without it')
  .parse().opts<{ evidence: string, name: string, reports?: string }>()

const { evidence, events, skippedCount } = JSON.parse(readFileSync(options.evidence, 'utf8')) as RecordedRun
const startEpochMs = Math.min(...evidence.calls.map(call => call.scheduledAtEpochMs))
const timeline = buildTimeline(evidence.calls, startEpochMs)
const phases = summarisePhases(evidence.calls, events, startEpochMs)
const checks = checkEvidence(evidence)
const failures = countFailures(evidence.calls)
console.log(formatSummary({ timeline, phases, checks, failures, events, startEpochMs, skippedCount }))
if (options.reports !== undefined) {
  mkdirSync(options.reports, { recursive: true })
  const basePath = join(options.reports, `domain-out-${options.name}`)
  const marks = events.map(({ atEpochMs, kind, failureDomain }) => ({ atMs: atEpochMs - startEpochMs, label: `${kind} ${failureDomain}` }))
  writeFileSync(`${basePath}.json`, `${JSON.stringify({ deployment: options.name, skippedCount, marks, phases, failures, checks, timeline }, null, 1)}\n`)
  writeFileSync(`${basePath}.svg`, plotSvg(`${options.name}: service while a failure domain leaves and returns`, timeline, marks))
  console.log(`report: ${basePath}.json ${basePath}.svg`)
}
process.exitCode = checks.some(({ count }) => count > 0) ? 1 : 0
