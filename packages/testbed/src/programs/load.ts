#!/usr/bin/env node
/** Runs the caller load of a deployment for a limited time and writes all recorded evidence to a file. */
import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { Command } from 'commander'
import { CallerClient } from '../caller/CallerClient.js'
import { OpenLoopLoad } from '../caller/OpenLoopLoad.js'
import type { Evidence } from '../checks/Evidence.js'
import { expandDeployment } from '../deployment/expandDeployment.js'
import { readDeploymentFile } from '../deployment/readDeploymentFile.js'
import { parseEvents, listWithdrawals } from '../deployment/OperatorEvent.js'
import type { TargetLedger } from '../target/RunLedger.js'

const DURATION_MAX_S = 120

const options = new Command('caller-load')
  .requiredOption('--deployment <file>', 'deployment file')
  .requiredOption('--instances <count>', 'number of instances', Number)
  .requiredOption('--duration-s <seconds>', `duration of the load, at most ${DURATION_MAX_S}`, Number)
  .requiredOption('--events <file>', 'operator events, one per line, written while the load runs')
  .requiredOption('--output <file>', 'file for the evidence as JSON')
  .parse().opts<{ deployment: string, instances: number, durationS: number, events: string, output: string }>()

const deployment = expandDeployment(readDeploymentFile(options.deployment), { instances: options.instances, credentialsFile: 'unused' })
const client = new CallerClient({ bootstrapUrls: deployment.instances.map(({ caller }) => `http://${caller.host}:${caller.port}`) })
const load = new OpenLoopLoad({ client, streams: deployment.streams, durationMs: Math.min(options.durationS, DURATION_MAX_S) * 1_000 })
for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => load.stop())
await load.run()

const targets: TargetLedger[] = []
for (const { targetId, failureDomain } of deployment.targets) {
  const url = `http://127.0.0.1:${deployment.controlPorts[failureDomain]}/targets/${targetId}/ledger`
  targets.push(await (await fetch(url)).json() as TargetLedger)
}
const events = parseEvents(existsSync(options.events) ? readFileSync(options.events, 'utf8') : '')
const evidence: Evidence = {
  targets,
  calls: client.calls,
  sightings: client.sightings,
  withdrawals: listWithdrawals(events, deployment.targets),
  plannedStops: []
}
writeFileSync(options.output, JSON.stringify({ evidence, events, skippedCount: load.skippedCount }))
await client.close()
