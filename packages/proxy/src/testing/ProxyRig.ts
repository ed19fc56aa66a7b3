import { request as httpRequest, type Agent, type ClientRequest, type IncomingHttpHeaders } from 'node:http'
import { connect, type Socket } from 'node:net'
import { ConfigurationHolder, type FailureDomainId, type InstanceId, type MemberRecord } from '@carobpitch/schema'
import { CallerListener, type CallerListenerOptions } from '../CallerListener.js'
import { FakeScheduler } from './FakeScheduler.js'

/**
 * A response as the caller received it.
 * @internal
 */
export interface ReceivedResponse {
  status: number
  headers: IncomingHttpHeaders
  body: string
  /** Whether the response looked complete to the caller. */
  isComplete: boolean
}

/**
 * Options of `ProxyRig.start`.
 * @internal
 */
export interface ProxyRigOptions extends Partial<CallerListenerOptions> {
  /** Base URLs of the targets, in the order in which they are granted. */
  targetUrls: readonly string[]
  service?: Record<string, unknown>
}

/**
 * Options of `ProxyRig.call`.
 * @internal
 */
export interface CallOptions {
  method?: string
  path?: string
  headers?: Record<string, string>
  body?: string | Buffer
  agent?: Agent
  /** Receives the request, to write a body or to disconnect. */
  onRequest?: (request: ClientRequest) => void
}

const INSTANCE_ID = 'entry-1' as InstanceId

/**
 * A caller listener with a fake scheduler that forwards to a test's targets.
 * @internal
 */
export class ProxyRig {
  readonly listener: CallerListener
  readonly scheduler: FakeScheduler
  readonly configuration: ConfigurationHolder

  private constructor (listener: CallerListener, scheduler: FakeScheduler, configuration: ConfigurationHolder) {
    this.listener = listener
    this.scheduler = scheduler
    this.configuration = configuration
  }

  /** Starts a listener for the service `chumon` with the given targets. */
  static async start ({ targetUrls, service = {}, ...options }: ProxyRigOptions): Promise<ProxyRig> {
    const configuration = new ConfigurationHolder()
    const targets = targetUrls.map((url, index) => [`chumon-${index + 1}`, { service: 'chumon', failureDomain: 'fukuoka', url }])
    const adopted = configuration.adopt({ revision: 1, services: { chumon: service }, failureDomains: { fukuoka: {} }, targets: Object.fromEntries(targets) })
    if (adopted.isErr) throw new Error(JSON.stringify(adopted.error))
    const scheduler = new FakeScheduler(configuration.current())
    const listener = new CallerListener({
      instanceId: INSTANCE_ID,
      listen: { host: '127.0.0.1', port: 0 },
      configuration,
      scheduler,
      instancesFor: () => [member('entry-1')],
      mayAcceptNewWork: () => true,
      takeRetryToken: () => true,
      ...options
    })
    await listener.start()
    return new ProxyRig(listener, scheduler, configuration)
  }

  /** Stops the listener. */
  async stop (): Promise<void> {
    await this.listener.stop()
  }

  /** Sends a request for `chumon` and collects the response. Rejects if no response head arrives. */
  async call ({ method = 'GET', path = '/', headers = {}, body, agent, onRequest }: CallOptions = {}): Promise<ReceivedResponse> {
    return await new Promise((resolve, reject) => {
      const request = httpRequest({ port: this.listener.port(), host: '127.0.0.1', method, path, agent, headers: { 'carobpitch-service': 'chumon', ...headers } })
      request.on('error', reject)
      request.on('response', response => {
        const chunks: Buffer[] = []
        response.on('data', chunk => chunks.push(chunk))
        response.on('error', () => {})
        response.on('close', () => resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString('latin1'),
          isComplete: response.complete
        }))
      })
      if (onRequest !== undefined) onRequest(request)
      else request.end(body)
    })
  }

  /** Opens a raw connection to the listener. */
  connect (): RawCaller {
    return new RawCaller(this.listener.port())
  }
}

/**
 * A caller that sends raw bytes over TCP.
 * @internal
 */
export class RawCaller {
  readonly socket: Socket
  private text = ''

  constructor (port: number) {
    this.socket = connect(port, '127.0.0.1')
    this.socket.on('error', () => {})
    this.socket.on('data', chunk => { this.text += chunk.toString('latin1') })
  }

  /** Sends bytes. */
  send (bytes: string): this {
    this.socket.write(bytes, 'latin1')
    return this
  }

  /** Waits until the connection has ended and returns all that was received. */
  async untilClosed (): Promise<string> {
    if (!this.socket.closed) await new Promise(resolve => this.socket.once('close', resolve))
    return this.text
  }

  /** Waits until the received text matches and returns it. */
  async until (pattern: RegExp): Promise<string> {
    return await this.untilText(text => pattern.test(text))
  }

  /** Waits until the received text satisfies the predicate and returns it. For long texts, for which a pattern is slow. */
  async untilText (isWanted: (text: string) => boolean): Promise<string> {
    while (!isWanted(this.text)) {
      if (this.socket.closed) throw new Error(`connection closed after: ${this.text.slice(0, 1_000)}`)
      await new Promise<void>(resolve => {
        const onEvent = (): void => {
          this.socket.off('data', onEvent)
          this.socket.off('close', onEvent)
          resolve()
        }
        this.socket.on('data', onEvent)
        this.socket.on('close', onEvent)
      })
    }
    return this.text
  }
}

/** Returns a member record, by default of a serving member. @internal */
export function member (id: string, state: MemberRecord['state'] = 'serving'): MemberRecord {
  return {
    instanceId: id as InstanceId,
    incarnation: 0,
    failureDomain: 'fukuoka' as FailureDomainId,
    callerUrl: `http://127.0.0.1/${id}`,
    peerUrl: 'http://127.0.0.1',
    state,
    adoptedRevision: 1
  }
}
