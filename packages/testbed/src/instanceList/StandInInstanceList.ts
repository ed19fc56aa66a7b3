import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'

/**
 * One entry of the platform's list of instances.
 * @public
 */
export interface ListedInstance {
  /** IP address and port of the instance's peer listener. */
  address: string
  state: 'live' | 'leaving'
}

interface ListVersion {
  atMs: number
  instances: ListedInstance[]
}

/**
 * Stand-in for the platform's list of live and leaving instances. Readers see the list as it was `lagMs` ago.
 * `PUT /` replaces the list, as the platform itself does.
 * @public
 */
export class StandInInstanceList {
  lagMs: number
  private versions: ListVersion[]
  private readonly server: Server

  constructor ({ instances = [], lagMs = 0 }: { instances?: ListedInstance[], lagMs?: number } = {}) {
    this.lagMs = lagMs
    this.versions = [{ atMs: -Infinity, instances }]
    this.server = createServer((request, response) => {
      if (request.method === 'PUT') {
        let body = ''
        request.on('data', chunk => { body += String(chunk) })
        request.on('end', () => {
          this.replaceInstances((JSON.parse(body) as { instances: ListedInstance[] }).instances)
          response.end('{}')
        })
        return
      }
      response.setHeader('content-type', 'application/json')
      response.end(JSON.stringify({ instances: this.visibleInstances() }))
    })
  }

  /** Replaces the list; readers see it after the lag. */
  replaceInstances (instances: ListedInstance[]): void {
    this.versions.push({ atMs: performance.now(), instances })
  }

  /** Returns the list that readers see now. */
  visibleInstances (): ListedInstance[] {
    const limitMs = performance.now() - this.lagMs
    return this.versions.findLast(version => version.atMs <= limitMs)?.instances ?? []
  }

  /** Starts listening. Port 0 selects a free port. */
  async start (port = 0): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(port, '127.0.0.1', resolve))
  }

  /** URL of the list. */
  url (): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}/`
  }

  /** Closes the server and its connections. */
  async stop (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }
}
