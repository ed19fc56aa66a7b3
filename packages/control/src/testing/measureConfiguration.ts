/**
 * Measures CPU time and size of configurations with several numbers of targets and writes a report.
 * Usage: node packages/control/dist/testing/measureConfiguration.js [report file]
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { dirname } from 'node:path'
import { gzipSync } from 'node:zlib'
import { EventLog } from '@carobpitch/kernel'
import { ConfigurationHolder, configurationSchema, type ChangeRecord, type Configuration, type Operation } from '@carobpitch/schema'
import { applyOperations } from '../applyOperations.js'
import { serviceImpacts } from '../capacity.js'
import { ConfigurationAdopter } from '../ConfigurationAdopter.js'
import { decodeConfiguration, encodeConfiguration } from '../configurationCodec.js'
import { makeConfiguration } from './configurations.js'
import { computeWithdrawals } from '../withdrawals.js'

interface ConfigurationSize {
  targets: number
  services: number
  failureDomains: number
}

const SIZES: ConfigurationSize[] = [
  { targets: 34, services: 3, failureDomains: 3 },
  { targets: 300, services: 15, failureDomains: 5 },
  { targets: 910, services: 46, failureDomains: 7 }
]
const ROUNDS = 15
const ITERATIONS_PER_ROUND = 8
/** Number of calls before the first round, so that no round measures code before JIT compilation. */
const WARM_UP_CALLS = 60
const REPORT_DEFAULT = 'reports/control-configuration.md'

/** CPU time of one call: median and quartiles over the rounds. */
interface Cost {
  medianMs: number
  lowMs: number
  highMs: number
}

function measureCost (run: () => void): Cost {
  for (let index = 0; index < WARM_UP_CALLS; index += 1) run()
  const samples: number[] = []
  for (let round = 0; round < ROUNDS; round += 1) {
    const start = process.cpuUsage()
    for (let index = 0; index < ITERATIONS_PER_ROUND; index += 1) run()
    const { user, system } = process.cpuUsage(start)
    samples.push((user + system) / 1_000 / ITERATIONS_PER_ROUND)
  }
  samples.sort((first, second) => first - second)
  const quantile = (share: number): number => samples[Math.floor(share * (samples.length - 1))] ?? 0
  return { medianMs: quantile(0.5), lowMs: quantile(0.25), highMs: quantile(0.75) }
}

function createConfiguration ({ targets, services, failureDomains }: ConfigurationSize): Configuration {
  const full = makeConfiguration({
    revision: 100,
    services: Array.from({ length: services }, (_, index) => `service-${index}`),
    failureDomains: Array.from({ length: failureDomains }, (_, index) => `domain-${index}`),
    targetsEach: Math.ceil(targets / services / failureDomains)
  })
  const recentChanges = Array.from({ length: 50 }, (_, index): ChangeRecord => ({
    changeId: `${(index * 7919 + 1).toString(16).padStart(12, 'a')}` as ChangeRecord['changeId'],
    revision: 100 - index,
    operator: 'aya',
    summary: `take failure domain domain-${index % failureDomains} out`,
    acceptedAtEpochMs: 1_700_000_000_000 + index * 48_000
  }))
  // Varied addresses and epochs, so that the document compresses as well as a real one.
  const varied = Object.entries(full.targets).slice(0, targets).map(([id, target], index) => {
    const hash = (index * 2_654_435_761) % 4_294_967_296
    const url = `http://10.${hash >>> 24}.${(hash >>> 16) & 255}.${(hash >>> 8) & 255}:${8_000 + index % 100}`
    return [id, { ...target, url, broughtInRevision: hash % 100 }]
  })
  return configurationSchema.parse({ ...full, targets: Object.fromEntries(varied), recentChanges })
}

function measure (size: ConfigurationSize): string[][] {
  const configuration = createConfiguration(size)
  const json = JSON.stringify(configuration)
  const value = encodeConfiguration(configuration)
  const operations: Operation[] = [{ kind: 'take-domain-out', failureDomain: Object.keys(configuration.failureDomains)[0] as never }]
  const after = applyOperations(configuration, operations).unwrapOr(configuration)
  const announcement = { attemptId: '0'.repeat(16), changeId: '0'.repeat(12), baseRevision: 100, withdrawals: computeWithdrawals(configuration, after) }
  const log = new EventLog({ silent: true })
  const adopter = new ConfigurationAdopter({ holder: new ConfigurationHolder(), log })
  adopter.tryAdopt(value, 'store')
  const name = String(size.targets)
  const costs: Array<[string, Cost]> = [
    ['validate the document', measureCost(() => { configurationSchema.parse(JSON.parse(json)) })],
    ['encode (JSON, gzip, base64)', measureCost(() => { encodeConfiguration(configuration) })],
    ['decode and validate', measureCost(() => { decodeConfiguration(value) })],
    ['adopt from an encoded value', measureCost(() => { new ConfigurationAdopter({ holder: new ConfigurationHolder(), log }).tryAdopt(value, 'push') })],
    ['adopt the value that is adopted already', measureCost(() => { adopter.tryAdopt(value, 'push') })],
    ['apply one operation', measureCost(() => { applyOperations(configuration, operations) })],
    ['describe the impact', measureCost(() => { serviceImpacts({ before: configuration, after, loads: [] }) })]
  ]
  const bytes: Array<[string, number]> = [
    ['JSON', json.length],
    ['gzip', gzipSync(json).length],
    ['stored value (base64 of gzip)', value.length],
    ['announcement that takes a failure domain out', JSON.stringify(announcement).length]
  ]
  return [
    ...costs.map(([label, { medianMs, lowMs, highMs }]) => [name, label, `${medianMs.toFixed(2)} ms`, `${lowMs.toFixed(2)} to ${highMs.toFixed(2)} ms`]),
    ...bytes.map(([label, count]) => [name, `size: ${label}`, `${count} bytes`, ''])
  ]
}

const report = process.argv[2] ?? REPORT_DEFAULT
const rows = SIZES.flatMap(measure)
const lines = [
  '# Cost of a configuration',
  '',
  'Written by `node packages/control/dist/testing/measureConfiguration.js`. Processor time per call: median of',
  `${ROUNDS} rounds of ${ITERATIONS_PER_ROUND} calls, with quartiles. The machine is shared; compare values of one run only.`,
  '',
  '| targets | what | median | quartiles |',
  '|---|---|---|---|',
  ...rows.map(cells => `| ${cells.join(' | ')} |`),
  ''
]
mkdirSync(dirname(report), { recursive: true })
writeFileSync(report, lines.join('\n'))
console.log(lines.join('\n'))
