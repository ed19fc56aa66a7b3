#!/usr/bin/env node
/** Runs the stand-in list of instances of a deployment in its own process. */
import { Command } from 'commander'
import { expandDeployment } from '../deployment/expandDeployment.js'
import { readDeploymentFile } from '../deployment/readDeploymentFile.js'
import { StandInInstanceList } from '../instanceList/StandInInstanceList.js'
import { stopOnSignal } from './stopOnSignal.js'

const options = new Command('stand-in-instance-list')
  .requiredOption('--deployment <file>', 'deployment file')
  .requiredOption('--instances <count>', 'number of instances', Number)
  .option('--lag-ms <ms>', 'time after which readers see a change', Number, 1_000)
  .parse().opts<{ deployment: string, instances: number, lagMs: number }>()

const { instances, instanceListPort } = expandDeployment(readDeploymentFile(options.deployment), { instances: options.instances, credentialsFile: 'unused' })
const list = new StandInInstanceList({
  instances: instances.map(({ peer }) => ({ address: `${peer.host}:${peer.port}`, state: 'live' })),
  lagMs: options.lagMs
})
await list.start(instanceListPort)
stopOnSignal(() => list.stop())
console.log(`event=instance-list.started url=${list.url()} instances=${instances.length}`)
