/** Stand-in for one upstream, as PROTOCOL.md describes it. It registers itself in the store. */
import { createServer } from 'node:http'
import { once } from 'node:events'

export class Upstream {
  constructor ({ store, id, service, zone = 'zone-a', slots = 3, workMs = () => 5 }) {
    Object.assign(this, { store, id, service, zone, slots, workMs })
    this.isDraining = false
    this.running = 0
    /** Every request except health checks, in order of arrival. */
    this.arrivals = []
    /** Returns the status of an answer that is sent before the request has been read, or `undefined`. */
    this.rejectsEarly = () => undefined
    this.server = createServer((request, response) => this.handle(request, response))
    this.server.keepAliveTimeout = 10_000
  }

  async start (host) {
    this.server.listen(0, host)
    await once(this.server, 'listening')
    this.address = `${host}:${this.server.address().port}`
    this.born = Date.now()
    this.report('ready')
  }

  report (state) {
    const { service, address, zone, slots, born } = this
    this.store.put(`servers/${this.id}`, JSON.stringify({ service, address, zone, version: 'v1', slots, state, 'warmup-left': '0ms', sequence: 1, born }))
  }

  /** Reports that the upstream is leaving. Returns the time of the store's confirmation. */
  drain () {
    this.isDraining = true
    this.report('draining')
    return performance.now()
  }

  /** Ends the process: all connections break. */
  async stop () {
    this.store.remove(`servers/${this.id}`)
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }

  loadHeader () {
    return { 'X-Carobpitch-Instance-Load': `${this.running},0,${this.slots}` }
  }

  handle (request, response) {
    if (request.url === '/healthz') {
      response.writeHead(this.isDraining ? 503 : 200, { ...this.loadHeader(), 'X-Carobpitch-Instance-Id': this.id, 'Content-Length': 0 }).end()
      return
    }
    const attemptId = request.headers['x-carobpitch-attempt-id']
    const arrival = { attemptId, path: request.url, atMs: performance.now(), bytes: 0, isWhole: false, hasRun: false, isBrokenOff: false }
    this.arrivals.push(arrival)
    request.on('data', chunk => { arrival.bytes += chunk.length })
    request.on('end', () => { arrival.isWhole = true })
    const echoed = { ...this.loadHeader(), 'X-Carobpitch-Attempt-Id': attemptId }
    const expected = request.headers['x-carobpitch-expect-instance']
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { ...echoed, 'X-Carobpitch-Instance-Id': this.id, 'Content-Length': 0 }).end()
    } else if (this.running >= this.slots) {
      response.writeHead(503, { ...echoed, 'X-Carobpitch-Not-Executed': '1', 'Content-Length': 0 }).end()
    } else this.run(request, response, arrival)
  }

  run (request, response, arrival) {
    const early = this.rejectsEarly(request)
    if (early !== undefined) {
      this.rejectBeforeBody(request, response, { arrival, ...early })
      return
    }
    arrival.hasRun = true
    this.running += 1
    let isRunning = true
    const end = () => {
      if (isRunning) this.running -= 1
      isRunning = false
    }
    response.once('close', () => {
      end()
      arrival.isBrokenOff = !response.writableFinished
    })
    request.once('end', () => setTimeout(() => {
      end()
      this.answer(response, arrival, 200, 'the whole body')
    }, this.workMs(request)))
  }

  /** Answers after a moment although the body isn't read, keeps the connection and reads on later. */
  rejectBeforeBody (request, response, { arrival, status, afterMs, readsOnAfterMs }) {
    arrival.isRejectedEarly = true
    request.pause()
    setTimeout(() => this.answer(response, arrival, status, 'too long'), afterMs)
    setTimeout(() => request.resume(), readsOnAfterMs)
  }

  answer (response, { attemptId }, status, body) {
    if (response.destroyed) return
    response.writeHead(status, { ...this.loadHeader(), 'X-Carobpitch-Attempt-Id': attemptId, 'X-Carobpitch-Server-Seal': `seal-of-${this.id}`, 'Content-Length': Buffer.byteLength(body) })
    response.end(body)
  }
}
