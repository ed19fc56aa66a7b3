import PQueue from 'p-queue'
import { request } from 'undici'
import * as z from 'zod'
import { CommandError } from './CommandError.js'
import { EXIT } from './exitCodes.js'
import { formatTable, formatTime } from './table.js'

/** Instances that are asked at the same time. */
const CONCURRENCY = 16
/** Time after which an instance counts as not responding. */
const RESPONSE_TIMEOUT_MS = 3_000

const dumpSchema = z.object({
  settings: z.object({
    digest: z.string(),
    adoptedAtEpochMs: z.number(),
    needsRestart: z.array(z.string()),
    shared: z.record(z.string(), z.unknown())
  }),
  knowledge: z.object({
    configurationVersion: z.number().optional(),
    members: z.array(z.object({ instanceId: z.string(), callerUrl: z.string() }))
  })
})

type InstanceDump = z.infer<typeof dumpSchema>

/** What one instance of the fleet runs. @internal */
export interface InstanceSettings {
  instanceId: string
  /** `undefined` if the instance did not respond. */
  digest: string | undefined
  configurationVersion: number | undefined
  adoptedAtEpochMs: number | undefined
  needsRestart: readonly string[]
  /** Settings that all instances of a fleet should share. */
  shared: Readonly<Record<string, unknown>>
}

/** Returns the state dump of an instance. Rejects if it does not respond in time. @internal */
export type FetchDump = (metricsUrl: string) => Promise<unknown>

/** Fetches the state dump of an instance from its metrics listener. @internal */
export async function fetchDump (metricsUrl: string): Promise<unknown> {
  const { body } = await request(new URL('/dump', metricsUrl), { headersTimeout: RESPONSE_TIMEOUT_MS, bodyTimeout: RESPONSE_TIMEOUT_MS })
  return await body.json()
}

/**
 * Asks all instances of a fleet which settings they run.
 * @param metricsUrl metrics listener of one instance, which names the others; all listen on the same port
 * @internal
 */
export async function readFleetSettings (metricsUrl: string, fetch: FetchDump = fetchDump): Promise<InstanceSettings[]> {
  if (!URL.canParse(metricsUrl)) throw new CommandError(EXIT.invalid, `${metricsUrl}: must be http://<host>:<port>`)
  const first = await readDump(metricsUrl, fetch)
  if (first === undefined) throw new CommandError(EXIT.unavailable, `${metricsUrl} does not respond`)
  const { port } = new URL(metricsUrl)
  const queue = new PQueue({ concurrency: CONCURRENCY })
  const instances = await Promise.all(first.knowledge.members.map(async ({ instanceId, callerUrl }) => {
    const dump = await queue.add(async () => await readDump(`http://${new URL(callerUrl).hostname}:${port}`, fetch))
    return toInstanceSettings(instanceId, dump)
  }))
  return instances.sort((one, other) => one.instanceId < other.instanceId ? -1 : 1)
}

/** Whether all instances respond, and run the same settings and configuration without a pending restart. @internal */
export function isUniform (instances: readonly InstanceSettings[]): boolean {
  const [first] = instances
  return instances.every(({ digest, configurationVersion, needsRestart }) => digest !== undefined && digest === first?.digest && configurationVersion === first.configurationVersion && needsRestart.length === 0)
}

/** Formats the instances, one line for each group that runs the same. @internal */
export function formatFleetSettings (instances: readonly InstanceSettings[]): string {
  const groups = new Map<string, InstanceSettings[]>()
  for (const instance of instances) {
    const key = JSON.stringify([instance.digest, instance.configurationVersion, instance.needsRestart])
    groups.set(key, [...groups.get(key) ?? [], instance])
  }
  const rows = [...groups.values()].sort((one, other) => other.length - one.length).map(group => {
    const [{ digest, configurationVersion, needsRestart }] = group as [InstanceSettings, ...InstanceSettings[]]
    const adoptedAtEpochMs = Math.max(...group.map(instance => instance.adoptedAtEpochMs ?? -Infinity))
    return [
      digest ?? 'no response',
      String(configurationVersion ?? '-'),
      needsRestart.length === 0 ? '-' : needsRestart.join(','),
      Number.isFinite(adoptedAtEpochMs) ? formatTime(adoptedAtEpochMs) : '-',
      String(group.length),
      group.map(({ instanceId }) => instanceId).join(' ')
    ]
  })
  return formatTable(['settings', 'configuration', 'needs restart for', 'last adopted', 'count', 'instances'], rows)
}

/** Returns the settings in which two instances differ, as `name: <first> / <second>`. @internal */
export function diffSettings (first: InstanceSettings, second: InstanceSettings): string[] {
  const names = [...new Set([...Object.keys(first.shared), ...Object.keys(second.shared)])].sort()
  return names
    .map(name => ({ name, values: [first, second].map(({ shared }) => JSON.stringify(shared[name]) ?? 'absent') }))
    .filter(({ values: [one, other] }) => one !== other)
    .map(({ name, values }) => `${name}: ${values.join(' / ')}`)
}

/** Returns an instance by its id. Throws if the fleet has none or it does not respond. @internal */
export function findInstance (instances: readonly InstanceSettings[], instanceId: string): InstanceSettings {
  const found = instances.find(instance => instance.instanceId === instanceId)
  if (found === undefined) throw new CommandError(EXIT.notFound, `no instance ${instanceId} is registered`)
  if (found.digest === undefined) throw new CommandError(EXIT.unavailable, `instance ${instanceId} does not respond`)
  return found
}

async function readDump (metricsUrl: string, fetch: FetchDump): Promise<InstanceDump | undefined> {
  try {
    return dumpSchema.safeParse(await fetch(metricsUrl)).data
  } catch {
    // An instance that cannot be reached is part of the answer.
    return undefined
  }
}

function toInstanceSettings (instanceId: string, dump: InstanceDump | undefined): InstanceSettings {
  return {
    instanceId,
    digest: dump?.settings.digest,
    configurationVersion: dump?.knowledge.configurationVersion,
    adoptedAtEpochMs: dump?.settings.adoptedAtEpochMs,
    needsRestart: dump?.settings.needsRestart ?? [],
    shared: dump?.settings.shared ?? {}
  }
}
