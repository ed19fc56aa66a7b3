import { createServer, request as httpRequest } from 'node:http'
import { once } from 'node:events'

/** One way to the stand-in store for each machine, so that the store can turn single machines away: their calls get no response. */
export class StoreGates {
  constructor (storeUrl) {
    this.storeUrl = new URL(storeUrl)
    this.servers = []
    this.turnedAway = new Set()
    /** Machine and path of each call that is passed on. */
    this.onCall = () => {}
  }

  /** Opens the way of a machine and returns its port. */
  async open (machine) {
    const server = createServer((request, response) => this.handle(machine, request, response))
    server.keepAliveTimeout = 60_000
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    this.servers.push(server)
    return server.address().port
  }

  /** Turns machines away from now on; watches of theirs that are waiting get no response either. */
  turnAway (machines) {
    for (const machine of machines) this.turnedAway.add(machine)
  }

  /** Serves all machines again. */
  serveAll () {
    this.turnedAway.clear()
  }

  handle (machine, request, response) {
    if (this.turnedAway.has(machine)) {
      request.resume()
      return
    }
    this.onCall(machine, request.url)
    const { hostname, port } = this.storeUrl
    const passedOn = httpRequest({ host: hostname, port, method: request.method, path: request.url, headers: request.headers, agent: false }, answer => {
      if (this.turnedAway.has(machine)) {
        answer.resume()
        return
      }
      response.writeHead(answer.statusCode, answer.rawHeaders.filter((_, index, all) => !/^(connection|keep-alive)$/i.test(all[index - index % 2])))
      answer.pipe(response)
    })
    passedOn.on('error', () => response.destroy())
    response.on('close', () => passedOn.destroy())
    request.pipe(passedOn)
  }

  async close () {
    for (const server of this.servers) {
      server.closeAllConnections()
      server.close()
    }
  }
}
