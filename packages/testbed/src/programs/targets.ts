#!/usr/bin/env node
/** Runs the stand-in targets of one failure domain, or a single target, in its own process. */
import { Command } from 'commander'
import { expandDeployment } from '../deployment/expandDeployment.js'
import { readDeploymentFile } from '../deployment/readDeploymentFile.js'
import { StandInTarget } from '../StandInTarget.js'
import { TargetControl } from '../target/TargetControl.js'
import { stopOnSignal } from './stopOnSignal.js'

const options = new Command('stand-in-targets')
  .requiredOption('--deployment <file>', 'deployment file')
  .requiredOption('--failure-domain <id>', 'failure domain whose targets run here')
  .option('--target <id>', 'run this target only')
  .parse().opts<{ deployment: string, failureDomain: string, target?: string }>()

const deployment = expandDeployment(readDeploymentFile(options.deployment), { instances: 0, credentialsFile: 'unused' })
const selectedTargets = deployment.targets
  .filter(({ failureDomain, targetId }) => failureDomain === options.failureDomain && (options.target ?? targetId) === targetId)
const targets = new Map<string, StandInTarget>()
for (const { targetId, port, behaviour } of selectedTargets) {
  const target = new StandInTarget({ targetId, slots: behaviour.slots, behaviour })
  await target.start(port)
  targets.set(targetId, target)
}
const control = new TargetControl(targets)
await control.start(deployment.controlPorts[options.failureDomain])
stopOnSignal(async () => {
  await control.stop()
  for (const target of targets.values()) await target.stop()
})
console.log(`event=targets.started failureDomain=${options.failureDomain} targets=${targets.size} control=${control.url()}`)
