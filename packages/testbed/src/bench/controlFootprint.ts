/**
 * Measures the control-plane overhead of an idle instance: real `carobpitchd` processes without caller traffic, for several numbers
 * of instances and targets. Usage: node packages/testbed/dist/bench/controlFootprint.js [--seconds 15] [--reports reports]
 */
import { spawn } from 'node:child_process'
import { mkdir, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { Command } from 'commander'
import { configurationSchema, settingsSchema, type Configuration, type Settings } from '@carobpitch/schema'
import { EtcdStore } from '@carobpitch/store'
import { seedStore } from '../deployment/seedStore.js'
import { findPort } from '../fleet/findPort.js'
import { InstanceProcess } from '../fleet/InstanceProcess.js'
import { StandInStore } from '../StandInStore.js'

const OPERATOR_TOKEN = 'operator-token-for-bench'
const DEPLOYMENT = 'footprint'
const SERVICES_MAX = 46
/** Time for joining, loading and the first probes, which are excluded from the steady-state measurement. */
const SETTLE_MS = 12_000
/** Unit of the CPU times in `/proc`. */
const CLOCK_TICKS_PER_SECOND = 100
const FLEET_SIZES = [
  { instances: 15, targets: 34 },
  { instances: 15, targets: 304 },
  { instances: 15, targets: 910 },
  { instances: 5, targets: 304 },
  { instances: 30, targets: 304 }
]

interface Footprint {
  instances: number
  targets: number
  /** Means per instance. */
  cpuPercentOfCore: number
  residentMb: number
  peerBytesPerSecond: number
  /** Of the whole fleet, by path; the store counts each open watch as one call. */
  storeCallsPerSecond: Record<string, number>
}

interface ResourceUsage {
  cpuMs: number
  residentMb: number
  peerBytes: number
}

const options = new Command('controlFootprint')
  .option('--seconds <n>', 'length of each measurement', '15')
  .option('--reports <directory>', 'directory of the report', 'reports')
  .parse().opts<{ seconds: string, reports: string }>()
const measurementDurationMs = Number(options.seconds) * 1_000

const bareMb = await measureBareProcess()
const footprints: Footprint[] = []
for (const sizes of FLEET_SIZES) {
  const footprint = await measureFleet(sizes)
  footprints.push(footprint)
  console.log(JSON.stringify(footprint))
}
await mkdir(options.reports, { recursive: true })
await writeFile(join(options.reports, 'control-footprint.json'), `${JSON.stringify({ measuredSeconds: measurementDurationMs / 1_000, bareProcessMb: bareMb, footprints }, null, 2)}\n`)
await writeFile(join(options.reports, 'control-footprint.md'), renderTable())

async function measureFleet ({ instances: count, targets: targetCount }: { instances: number, targets: number }): Promise<Footprint> {
  const directory = await mkdtemp(join(tmpdir(), 'carobpitch-footprint-'))
  const target = createServer((_request, response) => response.end('ok')).listen(0, '127.0.0.1')
  const store = new StandInStore()
  await store.start()
  await writeConfiguration(store, createConfiguration(targetCount, `http://127.0.0.1:${(target.address() as AddressInfo).port}`))
  const instances = (await createSettings(count, store.url(), directory)).map(settings => new InstanceProcess(settings, directory))
  try {
    await Promise.all(instances.map(instance => instance.start()))
    await delay(SETTLE_MS)
    const before = await Promise.all(instances.map(readResourceUsage))
    const callsBefore = new Map(store.callCounts)
    await delay(measurementDurationMs)
    const after = await Promise.all(instances.map(readResourceUsage))
    const calls = [...store.callCounts].map(([path, total]) => [path, (total - (callsBefore.get(path) ?? 0)) / measurementDurationMs * 1_000] as const)
    const mean = (valueAt: (index: number) => number): number => instances.reduce((sum, _, index) => sum + valueAt(index), 0) / count
    return {
      instances: count,
      targets: targetCount,
      cpuPercentOfCore: mean(index => ((after[index] as ResourceUsage).cpuMs - (before[index] as ResourceUsage).cpuMs) / measurementDurationMs * 100),
      residentMb: mean(index => (after[index] as ResourceUsage).residentMb),
      peerBytesPerSecond: mean(index => ((after[index] as ResourceUsage).peerBytes - (before[index] as ResourceUsage).peerBytes) / measurementDurationMs * 1_000),
      storeCallsPerSecond: Object.fromEntries(calls)
    }
  } finally {
    await Promise.all(instances.map(instance => instance.kill()))
    await store.stop()
    target.closeAllConnections()
    target.close()
    await rm(directory, { recursive: true, force: true })
  }
}

async function writeConfiguration (store: StandInStore, configuration: Configuration): Promise<void> {
  const client = new EtcdStore({ urls: [store.url()] })
  await seedStore(client, DEPLOYMENT, configuration)
  await client.close()
}

function createConfiguration (targetCount: number, url: string): Configuration {
  const domains = ['d1', 'd2', 'd3']
  const services = Math.min(SERVICES_MAX, targetCount)
  return configurationSchema.parse({
    revision: 1,
    services: Object.fromEntries(Array.from({ length: services }, (_, index) => [`service-${index}`, {}])),
    failureDomains: Object.fromEntries(domains.map(domain => [domain, {}])),
    targets: Object.fromEntries(Array.from({ length: targetCount }, (_, index) => [`target-${index}`, {
      service: `service-${index % services}`,
      failureDomain: domains[index % domains.length],
      url
    }]))
  })
}

async function createSettings (count: number, storeUrl: string, directory: string): Promise<Settings[]> {
  const credentialsFile = join(directory, 'credentials.json')
  await writeFile(credentialsFile, JSON.stringify({ peerToken: 'peer-token-for-bench', operatorTokens: { bench: OPERATOR_TOKEN } }))
  const peerPorts = await Promise.all(Array.from({ length: count }, () => findPort()))
  const host = '127.0.0.1'
  return await Promise.all(peerPorts.map(async (peerPort, index) => settingsSchema.parse({
    deployment: DEPLOYMENT,
    instanceId: `entry-${index}`,
    failureDomain: `d${index % 3 + 1}`,
    instancesMax: Math.max(17, count),
    caller: { host, port: await findPort() },
    peer: { host, port: peerPort },
    operator: { host, port: await findPort() },
    credentialsFile,
    store: { urls: [storeUrl] },
    seedPeerUrls: peerPorts.slice(0, 3).map(port => `http://${host}:${port}`)
  })))
}

async function readResourceUsage (instance: InstanceProcess): Promise<ResourceUsage> {
  const pid = instance.pid()
  const response = await fetch(`${instance.operatorUrl()}/dump`, { headers: { authorization: `Bearer ${OPERATOR_TOKEN}` } })
  const dump = await response.json() as { services: { 'peer-server': { transferredBytes: number } } }
  return { ...await readProcessUsage(pid), peerBytes: dump.services['peer-server'].transferredBytes }
}

async function readProcessUsage (pid: number): Promise<{ cpuMs: number, residentMb: number }> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8')
  // The name in the second field can contain spaces; the fields after it cannot.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const status = await readFile(`/proc/${pid}/status`, 'utf8')
  return {
    cpuMs: (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND * 1_000,
    residentMb: Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024
  }
}

/** Measures the resident memory of a Node.js process with one HTTP listener and no code of this repository. */
async function measureBareProcess (): Promise<number> {
  const child = spawn(process.execPath, ['-e', "require('node:http').createServer().listen(0, '127.0.0.1')"], { stdio: 'ignore' })
  await delay(1_000)
  const { residentMb } = await readProcessUsage(child.pid as number)
  child.kill('SIGKILL')
  return residentMb
}

function renderTable (): string {
  const rows = footprints.map(({ instances, targets, cpuPercentOfCore, residentMb, peerBytesPerSecond, storeCallsPerSecond }) => {
    const calls = Object.values(storeCallsPerSecond).reduce((sum, rate) => sum + rate, 0)
    return `| ${instances} | ${targets} | ${cpuPercentOfCore.toFixed(2)} | ${residentMb.toFixed(1)} | ${(peerBytesPerSecond / 1_024).toFixed(2)} | ${calls.toFixed(2)} |`
  })
  return `${[
    '# Control footprint of an idle instance',
    '',
    `Real processes, ${measurementDurationMs / 1_000} s each, command: \`node packages/testbed/dist/bench/controlFootprint.js\`. A bare Node.js process with one HTTP listener: ${bareMb.toFixed(1)} MB resident. The readings themselves (two state dumps per instance) are included.`,
    '',
    '| instances | targets | CPU, % of a core | resident, MB | peer listener, KB/s | store calls/s, whole fleet |',
    '|---|---|---|---|---|---|',
    ...rows
  ].join('\n')}\n`
}
