import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Pool, type Dispatcher } from 'undici'

/**
 * Faults that can be built into the instance. Each violates one invariant.
 * @internal
 */
export type Mutation =
  | 'repeats-after-may-have-run' | 'says-not-run-after-sending' | 'answers-without-sending'
  | 'ignores-response-id' | 'completes-cut-responses' | 'uses-withdrawn-targets'
  | 'ignores-cold-allowance' | 'probes-without-budget' | 'reverts-revision' | 'stops-at-once'

interface MutantTarget {
  url: string
  pool: Pool
  withdrawn: boolean
  /** The last request sent to the target. The next one waits for it, which keeps a cold target within an allowance of 1. */
  previous: Promise<unknown>
}

/** Number of probes sent to each target by the mutation `probes-without-budget`. */
const PROBE_BURST_COUNT = 40

/**
 * A minimal instance that fulfils the invariants for two targets, or violates one of them if a mutation is set.
 * Tests use it to prove that each check detects its violation. It is not part of any measurement.
 * @internal
 */
export class MutantInstance {
  revision = 1
  private reportedRevision = 0
  private readonly mutation: Mutation | undefined
  private readonly targets: MutantTarget[]
  private readonly server: Server
  private readonly inProgress = new Set<Promise<void>>()

  constructor ({ targetUrls, mutation }: { targetUrls: readonly string[], mutation: Mutation | undefined }) {
    this.mutation = mutation
    this.targets = targetUrls.map(url => ({ url, pool: new Pool(url, { pipelining: 1 }), withdrawn: false, previous: Promise.resolve() }))
    this.server = createServer((request, response) => { this.receive(request, response) })
  }

  /** Starts to listen on a free port. */
  async start (): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
  }

  /** Base URL for callers. */
  url (): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Withdraws a target, which receives no further requests unless `uses-withdrawn-targets` is set. */
  withdraw (index: number): void {
    (this.targets[index] as MutantTarget).withdrawn = true
  }

  /** Probes every target once, or `PROBE_BURST_COUNT` times with the mutation `probes-without-budget`. */
  async probe (): Promise<void> {
    const count = this.mutation === 'probes-without-budget' ? PROBE_BURST_COUNT : 1
    for (const target of this.targets) {
      for (let index = 0; index < count; index += 1) {
        const { body } = await target.pool.request({ method: 'GET', path: '/health' })
        await body.dump()
      }
    }
  }

  /** Performs a planned stop, which waits for the requests in progress unless `stops-at-once` is set. */
  async stop (): Promise<void> {
    if (this.mutation !== 'stops-at-once') await Promise.all(this.inProgress)
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
    for (const { pool } of this.targets) await pool.destroy()
  }

  private receive (request: IncomingMessage, response: ServerResponse): void {
    if (request.url?.startsWith('/.carobpitch/')) {
      response.end(JSON.stringify({ revision: this.reportRevision(), ttlMs: 0, instances: [{ url: this.url() }] }))
      return
    }
    const pending = this.handleRequest(request, response).finally(() => this.inProgress.delete(pending))
    this.inProgress.add(pending)
  }

  private reportRevision (): number {
    const reverts = this.mutation === 'reverts-revision' && this.reportedRevision > 1
    this.reportedRevision = reverts ? 1 : this.revision
    return this.reportedRevision
  }

  private async handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = String(request.headers['carobpitch-request-id'])
    if (this.mutation === 'answers-without-sending') {
      respond(response, 200, 'answered', JSON.stringify({ requestId, end: true }))
      return
    }
    const target = this.chooseTarget()
    if (target === undefined) {
      respond(response, 503, 'not-run', '')
      return
    }
    const sending = target.previous.then(() => this.send(target, request.method ?? 'GET', requestId, response))
    if (this.mutation !== 'ignores-cold-allowance') target.previous = sending
    await sending
  }

  private chooseTarget (): MutantTarget | undefined {
    if (this.mutation === 'uses-withdrawn-targets') return this.targets[0]
    return this.targets.find(({ withdrawn }) => !withdrawn)
  }

  private async send ({ pool }: MutantTarget, method: string, requestId: string, response: ServerResponse): Promise<void> {
    const options = { method: method as 'GET', path: '/', headers: { 'carobpitch-request-id': requestId } }
    try {
      await this.forward(await pool.request(options), requestId, response)
    } catch {
      if (this.mutation === 'repeats-after-may-have-run') {
        const retried = await pool.request(options)
        await this.forward(retried, requestId, response)
      } else if (this.mutation === 'says-not-run-after-sending') {
        respond(response, 503, 'not-run', '')
      } else {
        respond(response, 502, 'may-have-run', '')
      }
    }
  }

  private async forward (answer: Dispatcher.ResponseData, requestId: string, response: ServerResponse): Promise<void> {
    let text = ''
    try {
      for await (const chunk of answer.body) text += String(chunk)
    } catch (error) {
      if (this.mutation !== 'completes-cut-responses') throw error
    }
    const isMismatched = answer.headers['carobpitch-request-id'] !== requestId
    if (isMismatched && this.mutation !== 'ignores-response-id') throw new Error('response to another request')
    respond(response, answer.statusCode, 'answered', text)
  }
}

function respond (response: ServerResponse, status: number, verdict: string, body: string): void {
  response.writeHead(status, { 'carobpitch-verdict': verdict })
  response.end(body)
}
