import { request as httpRequest, type ClientRequest, type IncomingHttpHeaders } from 'node:http'
import { Writable } from 'node:stream'
import { Registry } from 'prom-client'
import type { FrontSettings } from '@carobpitch/gateway'
import { EventLog } from '@carobpitch/kernel'
import { callerHeaders, callerProtocol, decodeRecord, encodeRollout, PlatformStore, recordKeysOf, STORE_KEYS, StandInPlatformStore, StandInPlatformTarget, targetProtocol, wireConfiguration, type StandInPlatformTargetOptions } from '@carobpitch/platform'
import type { FailureDomainId, InstanceId, ListenerSettings } from '@carobpitch/schema'
import { FrontDaemon } from '../FrontDaemon.js'

/** Longest time to wait for an expected condition. */
const WAIT_MAX_MS = 5_000
const WAIT_STEP_MS = 10

/** Response as a caller received it. @internal */
export interface ReceivedResponse {
  status: number
  headers: IncomingHttpHeaders
  body: string
  isComplete: boolean
  elapsedMs: number
}

/** Options of `FrontTestHarness.call`. @internal */
export interface TestRequest {
  method?: string
  host?: string
  path?: string
  requestId?: string
  deadlineMs?: number
  body?: string
  /** Further headers. */
  headers?: Record<string, string>
  onRequest?: (request: ClientRequest) => void
}

/**
 * Runs front daemons inside the test process, against a stand-in store and stand-in targets on loopback.
 * @internal
 */
export class FrontTestHarness {
  readonly store = new StandInPlatformStore()
  readonly targets: StandInPlatformTarget[] = []
  readonly daemons: FrontDaemon[] = []
  /** Log lines of all daemons. */
  readonly logLines: string[] = []
  private readonly storeClients: PlatformStore[] = []
  private storeUrl = ''
  private requestCount = 0

  /** Starts the store with a configuration. */
  static async start (configuration: string | undefined = wireConfiguration()): Promise<FrontTestHarness> {
    const harness = new FrontTestHarness()
    harness.storeUrl = await harness.store.start()
    if (configuration !== undefined) harness.store.put(STORE_KEYS.configuration, configuration)
    return harness
  }

  /** Starts a target and registers it in the store. */
  async addTarget (options: StandInPlatformTargetOptions): Promise<StandInPlatformTarget> {
    const target = new StandInPlatformTarget(options)
    await target.start()
    this.targets.push(target)
    this.store.put(target.key(), target.entry())
    return target
  }

  /** Registers a target that the test has started itself. */
  registerTarget (targetId: string, url: string): void {
    const entry = { service: 'menzaiko', address: new URL(url).host, zone: 'zone-a', version: 'v1', slots: 3, state: 'ready', 'warmup-left': '0ms', sequence: 1, born: 1_700_000_000_000 }
    this.store.put(`${STORE_KEYS.targetPrefix}${targetId}`, JSON.stringify(entry))
  }

  /** Starts a front daemon and waits until it has loaded the configuration. */
  async addFront (settings: Partial<FrontSettings> = {}): Promise<FrontDaemon> {
    const daemon = this.createFront(settings)
    await daemon.start()
    await waitUntil(() => daemon.deploymentCache.routingTable() !== undefined)
    return daemon
  }

  /** Creates a front daemon without starting it. */
  createFront (settings: Partial<FrontSettings> = {}): FrontDaemon {
    const ownSettings = settingsOf(this.storeUrl, `front-${this.daemons.length + 1}`, settings)
    const store = new PlatformStore({ url: ownSettings.storeUrl })
    const daemon = new FrontDaemon({
      settings: ownSettings,
      log: new EventLog({ output: this.createLogOutput() }),
      store,
      decodeRecord,
      encodeRollout,
      callerProtocol,
      targetProtocol,
      keys: recordKeysOf(ownSettings.instanceId),
      registry: new Registry()
    })
    this.storeClients.push(store)
    this.daemons.push(daemon)
    return daemon
  }

  private createLogOutput (): Writable {
    return new Writable({
      write: (chunk: Buffer, _encoding, callback) => {
        this.logLines.push(...chunk.toString().trimEnd().split('\n'))
        callback()
      }
    })
  }

  /** Sends a request to a front daemon as a caller does. */
  async call (daemon: FrontDaemon, { method = 'GET', host = 'shop.example', path = '/stock/1', requestId, deadlineMs = 2_000, body, headers: furtherHeaders, onRequest }: TestRequest = {}): Promise<ReceivedResponse> {
    const startedAtMs = performance.now()
    this.requestCount += 1
    const headers = {
      ...callerHeaders({ host, requestId: requestId ?? `request-${this.requestCount}`, deadlineMs }),
      ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }),
      ...furtherHeaders
    }
    return await new Promise((resolve, reject) => {
      const request = httpRequest({ host: '127.0.0.1', port: daemon.kernel.get('front').port(), method, path, headers, agent: false })
      request.on('error', reject)
      request.on('response', response => {
        const chunks: Buffer[] = []
        response.on('data', (chunk: Buffer) => chunks.push(chunk))
        response.on('error', () => {})
        response.on('close', () => resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
          isComplete: response.complete,
          elapsedMs: performance.now() - startedAtMs
        }))
      })
      request.end(body)
      onRequest?.(request)
    })
  }

  /** Stops the daemons, the store clients, the targets and the store. */
  async stop (): Promise<void> {
    for (const daemon of this.daemons) await daemon.stop()
    for (const client of this.storeClients) await client.close()
    for (const target of this.targets) await target.stop()
    await this.store.stop()
  }
}

/** Waits until a condition holds. */
export async function waitUntil (condition: () => boolean, waitMaxMs = WAIT_MAX_MS): Promise<void> {
  const deadlineAtMs = performance.now() + waitMaxMs
  while (!condition()) {
    if (performance.now() > deadlineAtMs) throw new Error('timed out waiting for the condition')
    await new Promise(resolve => setTimeout(resolve, WAIT_STEP_MS))
  }
}

function settingsOf (storeUrl: string, instanceId: string, settings: Partial<FrontSettings>): FrontSettings {
  const listen: ListenerSettings = { host: '127.0.0.1', port: 0 }
  return {
    instanceId: instanceId as InstanceId,
    failureDomain: 'zone-a' as FailureDomainId,
    capacity: { linkMbps: 100, cores: 1 },
    bodyMemoryBytes: 33_554_432,
    callerListen: listen,
    readinessListen: listen,
    directoryListen: listen,
    peerListen: listen,
    metricsListen: listen,
    seedPeerUrls: [],
    storeUrl,
    propagationBounds: { configApplyMs: 2_000, contactMs: 3_000 },
    leaseMinMs: 1_000,
    stopGraceMs: 1_000,
    directoryTtlMaxMs: 100,
    probesPerTargetAndS: 60,
    allowanceLimits: undefined,
    rolloutLimits: undefined,
    retryLimits: { share: 0.2, slack: 56, windowMs: 10_000 },
    ...settings
  }
}
