#!/usr/bin/env node
/** Kills or revives every stand-in target of a failure domain, or makes it cold or warm. */
import { Command, Option } from 'commander'
import { expandDeployment } from '../deployment/expandDeployment.js'
import { readDeploymentFile } from '../deployment/readDeploymentFile.js'

const options = new Command('control-targets')
  .requiredOption('--deployment <file>', 'deployment file')
  .requiredOption('--failure-domain <id>', 'failure domain')
  .addOption(new Option('--action <action>', 'what happens to the targets').choices(['kill', 'revive', 'cold', 'warm']).makeOptionMandatory())
  .parse().opts<{ deployment: string, failureDomain: string, action: string }>()

const { targets, controlPorts } = expandDeployment(readDeploymentFile(options.deployment), { instances: 0, credentialsFile: 'unused' })
const affected = targets.filter(({ failureDomain }) => failureDomain === options.failureDomain)
for (const { targetId } of affected) {
  const url = `http://127.0.0.1:${controlPorts[options.failureDomain]}/targets/${targetId}/${options.action}`
  const response = await fetch(url, { method: 'POST' })
  if (!response.ok) throw new Error(`${url}: ${response.status} ${await response.text()}`)
}
console.log(`event=targets.controlled failureDomain=${options.failureDomain} action=${options.action} targets=${affected.length}`)
