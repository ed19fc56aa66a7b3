#!/usr/bin/env node
/** Writes credentials and instance settings of a deployment or, with `--seed`, writes its configuration to a store that holds none. */
import { randomBytes } from 'node:crypto'
import { mkdirSync, writeFileSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { Command } from 'commander'
import { EtcdStore } from '@carobpitch/store'
import { expandDeployment, type ExpandedDeployment } from '../deployment/expandDeployment.js'
import { readDeploymentFile } from '../deployment/readDeploymentFile.js'
import { seedStore } from '../deployment/seedStore.js'

const options = new Command('prepare-deployment')
  .requiredOption('--deployment <file>', 'deployment file')
  .requiredOption('--instances <count>', 'number of instances', Number)
  .requiredOption('--directory <directory>', 'directory to write to')
  .option('--seed', 'write the configuration to the store instead of writing files')
  .parse().opts<{ deployment: string, instances: number, directory: string, seed?: boolean }>()

const file = readDeploymentFile(options.deployment)
const directory = resolve(options.directory)
const credentialsFile = join(directory, 'credentials.json')
const deployment = expandDeployment(file, { instances: options.instances, credentialsFile })
if (options.seed) {
  const store = new EtcdStore({ urls: [`http://127.0.0.1:${deployment.storePort}`] })
  await seedStore(store, file.deployment, deployment.configuration)
  await store.close()
} else {
  writeFiles(deployment)
}

/** Writes the files and prints the shell variables that the start script needs. */
function writeFiles ({ instances, storePort, controlPorts }: ExpandedDeployment): void {
  const operatorToken = randomBytes(24).toString('hex')
  mkdirSync(directory, { recursive: true })
  writeFileSync(credentialsFile, JSON.stringify({ peerToken: randomBytes(24).toString('hex'), operatorTokens: { demo: operatorToken } }), { mode: 0o600 })
  writeFileSync(join(directory, 'operator-token'), operatorToken, { mode: 0o600 })
  for (const settings of instances) writeFileSync(join(directory, `${settings.instanceId}.json`), JSON.stringify(settings, null, 2))
  console.log(`instances="${instances.map(({ instanceId }) => instanceId).join(' ')}"`)
  console.log(`operator_urls="${instances.map(({ operator }) => `http://${operator.host}:${operator.port}`).join(' ')}"`)
  console.log(`caller_urls="${instances.map(({ caller }) => `http://${caller.host}:${caller.port}`).join(' ')}"`)
  console.log(`failure_domains="${Object.keys(controlPorts).join(' ')}"`)
  console.log(`control_urls="${Object.values(controlPorts).map(port => `http://127.0.0.1:${port}/targets`).join(' ')}"`)
  console.log(`demo_failure_domain="${file.demoFailureDomain}"`)
  console.log(`store_port="${storePort}"`)
}
