import { createServer } from 'node:http'
import { once } from 'node:events'

/**
 * A stand-in upstream: `slots` requests run at once, a few more are queued, and what does not fit is rejected as not run. Its health path
 * answers 503 while it is leaving.
 */
export class Upstream {
  constructor ({ id, service, zone, slots = 3, queueMax = 6, workMs = 200, answerBytes = 0, record }) {
    Object.assign(this, { id, service, zone, slots, queueMax, workMs, answerBytes, record })
    /** Called before an answer to a request is written, with the bytes of its head. */
    this.beforeAnswer = () => {}
    /** Returns the status of the answer to a request that has run. */
    this.statusOf = () => 200
    this.bornMs = Date.now()
    this.isLeaving = false
    this.running = 0
    this.refusals = 0
    this.waiting = []
    /** Arrivals that were not rejected, with the times at which they arrived, and how they ended. */
    this.arrivals = []
    this.server = createServer((request, response) => this.handle(request, response))
  }

  async start () {
    this.server.listen(0, '127.0.0.1')
    await once(this.server, 'listening')
  }

  key () {
    return `servers/${this.id}`
  }

  entry (state = 'ready') {
    const { service, zone, slots, bornMs } = this
    return JSON.stringify({ service, address: `127.0.0.1:${this.server.address().port}`, zone, version: 'v1', slots, state, 'warmup-left': '0ms', sequence: 1, born: bornMs })
  }

  /** Ends the process of the upstream: its connections close, and requests that it has not answered are lost. */
  exit () {
    this.record.add('upstream.exits', { upstream: this.id, unanswered: this.arrivals.filter(({ end }) => end === undefined).length })
    this.server.closeAllConnections()
    this.server.close()
  }

  handle (request, response) {
    response.setHeader('x-carobpitch-instance-load', `${this.running},${this.waiting.length},${this.slots},100`)
    if (request.url === '/healthz') {
      response.writeHead(this.isLeaving ? 503 : 200, { 'x-carobpitch-instance-id': this.id, 'content-length': 0 }).end()
      return
    }
    const id = request.headers['x-carobpitch-attempt-id']
    const received = new Promise(resolve => request.once('end', resolve))
    request.resume()
    if (request.headers['x-carobpitch-expect-instance'] !== this.id) {
      this.answer(response, id, 421, { 'x-carobpitch-not-executed': '1' }, '')
      return
    }
    if (this.running >= this.slots && this.waiting.length >= this.queueMax) {
      this.refusals += 1
      this.answer(response, id, 503, { 'x-carobpitch-not-executed': '1' }, '')
      return
    }
    const arrival = { id, atMs: this.record.add('arrives', { id, upstream: this.id }) }
    this.arrivals.push(arrival)
    if (this.running < this.slots) this.run({ arrival, response, received })
    else this.waiting.push({ arrival, response, received })
  }

  async run ({ arrival, response, received }) {
    this.running += 1
    await received
    this.record.add('runs', { id: arrival.id, upstream: this.id })
    arrival.hasRun = true
    setTimeout(() => {
      this.running -= 1
      arrival.end = response.destroyed ? 'connection closed' : 'answered'
      this.answer(response, arrival.id, this.statusOf(arrival.id), { 'x-carobpitch-server-seal': `seal-${this.id}`, ...(this.isLeaving ? { connection: 'close' } : {}) }, `done by ${this.id}`.padEnd(this.answerBytes, '.'))
      const next = this.waiting.shift()
      if (next !== undefined) this.run(next)
    }, this.workMs)
  }

  answer (response, id, status, further, body) {
    if (response.destroyed) return
    const headers = { 'x-carobpitch-attempt-id': id, ...further, date: new Date().toUTCString(), 'content-length': body.length }
    this.beforeAnswer({ response, id, status, headers })
    response.writeHead(status, headers).end(body)
  }

  async stop () {
    this.server.closeAllConnections()
    this.server.close()
  }
}
