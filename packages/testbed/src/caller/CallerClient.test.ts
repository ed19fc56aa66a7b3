import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { CallerClient } from './CallerClient.js'

type Handler = (request: IncomingMessage, response: ServerResponse) => void

/** An instance that serves a fixed address list and passes all other requests to a handler. */
class FakeInstance {
  urls: string[] = []
  listRequestCount = 0
  callCount = 0
  revision = 1
  ttlMs = 60_000
  readonly server: Server

  constructor (handler: Handler) {
    this.server = createServer((request, response) => {
      if (request.url?.startsWith('/.carobpitch/')) {
        this.listRequestCount += 1
        response.end(JSON.stringify({ revision: this.revision, ttlMs: this.ttlMs, instances: this.urls.map(url => ({ url })) }))
        return
      }
      this.callCount += 1
      handler(request, response)
    })
  }

  async start (): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }
}

const respond: Handler = (request, response) => {
  response.setHeader('carobpitch-verdict', 'answered')
  response.end(JSON.stringify({ requestId: request.headers['carobpitch-request-id'], end: true }))
}
const refuseNotRun: Handler = (_request, response) => {
  response.writeHead(503, { 'carobpitch-verdict': 'not-run' }).end()
}
const breakConnection: Handler = request => { request.socket.destroy() }

describe('caller client', () => {
  const started: FakeInstance[] = []
  const clients: CallerClient[] = []

  afterEach(async () => {
    for (const client of clients.splice(0)) await client.close()
    for (const { server } of started.splice(0)) {
      server.closeAllConnections()
      server.close()
    }
  })

  async function setUp (...handlers: Handler[]): Promise<{ instances: FakeInstance[], client: CallerClient }> {
    const instances = handlers.map(handler => new FakeInstance(handler))
    const urls = await Promise.all(instances.map(instance => instance.start()))
    for (const instance of instances) instance.urls = urls
    started.push(...instances)
    const client = new CallerClient({ bootstrapUrls: urls, random: () => 0 })
    clients.push(client)
    return { instances, client }
  }

  it('caches the address list for its time to live and fetches it again afterwards', async () => {
    const { instances: [first], client } = await setUp(respond)
    await client.call({ service: 's', method: 'GET' })
    await client.call({ service: 's', method: 'GET' })
    expect(first?.listRequestCount).to.equal(1)
    if (first !== undefined) first.ttlMs = 0
    await client.call({ service: 'other', method: 'GET' })
    await client.call({ service: 'other', method: 'GET' })
    expect(first?.listRequestCount).to.equal(3)
  })

  it('sends a booking to the next address after a refusal with not-run', async () => {
    const { client } = await setUp(refuseNotRun, respond)
    const record = await client.call({ service: 's', method: 'POST' })
    expect(record.attempts.map(({ verdict }) => verdict)).to.deep.equal(['not-run', 'answered'])
    expect(record.succeeded).to.equal(true)
  })

  it('sends a booking to the next address after a refused connection', async () => {
    const { instances, client } = await setUp(respond, respond)
    const [first] = instances
    if (first !== undefined) first.urls = ['http://127.0.0.1:1', ...first.urls]
    const record = await client.call({ service: 's', method: 'POST' })
    expect(record.attempts.map(({ end }) => end)).to.deep.equal(['connect-failed', 'complete'])
  })

  it('never retries a booking whose connection broke, guarding against a booking that runs twice', async () => {
    const { instances, client } = await setUp(breakConnection, respond)
    const record = await client.call({ service: 's', method: 'POST' })
    expect(record).to.include({ verdict: 'may-have-run', succeeded: false })
    expect(instances[1]?.callCount).to.equal(0)
  })

  it('retries a read whose connection broke and marks the attempt as a retry', async () => {
    let retry: unknown
    const { client } = await setUp(breakConnection, (request, response) => {
      retry = request.headers['carobpitch-retry']
      respond(request, response)
    })
    const record = await client.call({ service: 's', method: 'GET' })
    expect(record.succeeded).to.equal(true)
    expect(retry).to.equal('1')
  })

  it('records that a response belongs to another request', async () => {
    const { client } = await setUp((_request, response) => {
      response.setHeader('carobpitch-verdict', 'answered')
      response.end('{"requestId":"other","end":true}')
    })
    const record = await client.call({ service: 's', method: 'GET' })
    expect(record.attempts[0]?.contentFault).to.equal('another-request')
    expect(record.succeeded).to.equal(false)
  })

  it('fetches the list from the next instance when one does not respond, and uses an expired list when none responds', async () => {
    const { instances, client } = await setUp(respond, respond)
    const [first, second] = instances as [FakeInstance, FakeInstance]
    first.ttlMs = second.ttlMs = 0
    first.server.closeAllConnections()
    await new Promise(resolve => first.server.close(resolve))
    expect((await client.call({ service: 's', method: 'GET' })).succeeded).to.equal(true)
    expect(second.listRequestCount).to.equal(1)
    second.server.closeAllConnections()
    await new Promise(resolve => second.server.close(resolve))
    const record = await client.call({ service: 's', method: 'GET' })
    expect(record.attempts.map(({ end }) => end)).to.deep.equal(['connect-failed', 'connect-failed'])
  })
})
