/** One client of the system: sends requests over a connection that it keeps, and records what comes back. */
import { Agent, request } from 'node:http'
import { HOST_NAME } from './testCase.mjs'

let requestCount = 0

export class Client {
  constructor ({ front, name }) {
    this.front = front
    this.name = name
    this.agent = new Agent({ keepAlive: true, maxSockets: 1 })
  }

  /**
   * Sends a request. Resolves with its outcome when it has been answered, when it has failed, when its deadline has passed, or when the
   * client has left.
   * @param leavesAfterMs time after which the client closes its connection
   * @param bodyAfterMs time between the head of the request and its body
   */
  async send ({ path, body = Buffer.alloc(0), deadlineMs, leavesAfterMs, bodyAfterMs = 0 }) {
    requestCount += 1
    const attemptId = `${this.name}-${requestCount}`
    const outcome = { attemptId, path, sentAtMs: performance.now(), status: undefined, isReused: false, isSentWhole: false }
    return await new Promise(resolve => {
      const headers = { host: HOST_NAME, 'x-carobpitch-attempt-id': attemptId, 'x-carobpitch-deadline-ms': String(deadlineMs), 'content-length': body.length }
      const outgoing = request({ host: this.front.host, port: this.front.ports.front, agent: this.agent, method: 'POST', path, headers })
      const timers = []
      const end = how => {
        if (outcome.how !== undefined) return
        Object.assign(outcome, { how, endedAtMs: performance.now(), isReused: outgoing.reusedSocket, isSentWhole: outgoing.writableFinished })
        for (const timer of timers) clearTimeout(timer)
        resolve(outcome)
      }
      const leave = how => {
        end(how)
        outgoing.destroy()
      }
      timers.push(setTimeout(() => leave('deadline'), deadlineMs))
      if (leavesAfterMs !== undefined) timers.push(setTimeout(() => leave('left'), leavesAfterMs))
      outgoing.on('error', error => end(`connection failed: ${error.code}`))
      outgoing.on('response', response => {
        outcome.status = response.statusCode
        outcome.hasSeal = response.headers['x-carobpitch-server-seal'] !== undefined
        response.resume()
        response.on('close', () => end(response.complete ? 'answered' : 'broken off'))
      })
      if (bodyAfterMs === 0) outgoing.end(body)
      else {
        outgoing.flushHeaders()
        timers.push(setTimeout(() => outgoing.end(body), bodyAfterMs))
      }
    })
  }

  close () {
    this.agent.destroy()
  }
}
