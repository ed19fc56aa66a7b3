import { randomUUID } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import polka from 'polka'
import { serviceNameSchema, type ConfigurationSource, type InstanceId, type ListenerSettings, type MembershipSource, type ServiceName, type TenantId } from '@carobpitch/schema'
import type { Scheduler } from '@carobpitch/routing'
import { forward } from './forward.js'
import { DEADLINE_HEADER, INSTANCE_HEADER, REASON_HEADER, REQUEST_ID_HEADER, SERVICE_HEADER, TARGET_HEADER, VERDICT_HEADER } from './headers.js'
import { TargetPools } from './TargetPools.js'

/**
 * Options of `CallerListener`.
 * @public
 */
export interface CallerListenerOptions {
  instanceId: InstanceId
  listen: ListenerSettings
  configuration: ConfigurationSource
  membership: MembershipSource
  scheduler: Scheduler
  answerTtlMs?: number
}

/**
 * HTTP listener for callers: tells which instances to use for a service, and forwards requests to targets.
 * @public
 */
export class CallerListener {
  private readonly options: CallerListenerOptions
  private readonly pools = new TargetPools()
  private readonly server: Server

  constructor (options: CallerListenerOptions) {
    this.options = options
    this.server = createServer()
  }

  /** Starts to listen. */
  async start (): Promise<void> {
    const app = polka({ server: this.server })
    app.get('/.carobpitch/instances', (request, response) => this.answerInstances(request, response))
    app.all('*', (request, response) => { this.proxy(request, response) })
    const { host, port } = this.options.listen
    await new Promise<void>(resolve => this.server.listen(port, host, resolve))
    this.server.on('request', app.handler as never)
  }

  /** The port that is listened on. */
  port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Closes the listener and all connections. */
  async stop (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
    await this.pools.close()
  }

  private answerInstances (request: IncomingMessage & { query: Record<string, unknown> }, response: ServerResponse): void {
    const service = String(request.query.service ?? '')
    const { answerTtlMs = 5_000, configuration, membership } = this.options
    const current = configuration.current()
    if (!(service in current.services)) {
      refuse(response, 404, 'unknown-service')
      return
    }
    const instances = membership.members()
      .filter(member => member.state === 'serving')
      .map(({ instanceId, failureDomain, callerUrl }) => ({ instanceId, failureDomain, url: callerUrl }))
    response.setHeader('content-type', 'application/json')
    response.end(JSON.stringify({ service, revision: current.revision, ttlMs: answerTtlMs, instances }))
  }

  private async proxy (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { configuration, instanceId, scheduler } = this.options
    response.setHeader(INSTANCE_HEADER, instanceId)
    const service = serviceNameSchema.safeParse(request.headers[SERVICE_HEADER])
    const serviceConfiguration = service.success ? configuration.current().services[service.data] : undefined
    if (!service.success || serviceConfiguration === undefined) {
      refuse(response, 404, 'unknown-service')
      return
    }
    const deadlineMs = Number(request.headers[DEADLINE_HEADER] ?? serviceConfiguration.requestTimeoutMs)
    const startedAtMs = performance.now()
    const controller = new AbortController()
    response.once('close', () => { if (!response.writableFinished) controller.abort() })
    const grant = await scheduler.acquire({
      service: service.data as ServiceName,
      tenant: 'default' as TenantId,
      requestClass: serviceConfiguration.requestClass,
      deadlineAtMs: startedAtMs + deadlineMs,
      signal: controller.signal,
      exclude: new Set()
    })
    if (grant.isErr) {
      refuse(response, 503, grant.error.reason)
      return
    }
    const { target, release } = grant.value
    response.setHeader(TARGET_HEADER, target.targetId)
    const requestId = String(request.headers[REQUEST_ID_HEADER] ?? randomUUID())
    const outcome = await forward({ request, response, requestId, deadlineMs, signal: controller.signal, pool: this.pools.of(target) })
    release({ kind: outcome.verdict === 'answered' ? 'answered' : 'failed', elapsedMs: performance.now() - startedAtMs })
    if (outcome.verdict !== 'answered' && !response.headersSent) refuse(response, 502, outcome.reason, outcome.verdict)
    else if (outcome.verdict !== 'answered') response.destroy()
  }
}

function refuse (response: ServerResponse, status: number, reason: string, verdict = 'not-run'): void {
  response.statusCode = status
  response.setHeader(VERDICT_HEADER, verdict)
  response.setHeader(REASON_HEADER, reason)
  response.setHeader('content-type', 'application/json')
  response.end(JSON.stringify({ verdict, reason }))
}
