import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import polka from 'polka'
import { closeServer, openServer, type Service } from '@carobpitch/kernel'
import type { ListenerSettings } from '@carobpitch/schema'

/**
 * Options of `Readiness`.
 * @public
 */
export interface ReadinessOptions {
  listen: ListenerSettings
  path: string
  isReady: () => boolean
}

/**
 * Tells the platform whether callers may be sent to this instance.
 * @public
 */
export class Readiness implements Service {
  private readonly options: ReadinessOptions
  private readonly server: Server

  constructor (options: ReadinessOptions) {
    this.options = options
    const app = polka({ onNoMatch: (_request, response) => { response.writeHead(404).end() } })
    app.get(options.path, (_request, response) => {
      response.writeHead(options.isReady() ? 200 : 503, { 'content-length': 0 }).end()
    })
    this.server = createServer(app.handler as unknown as (request: IncomingMessage, response: ServerResponse) => void)
  }

  async start (): Promise<void> {
    await openServer(this.server, this.options.listen)
  }

  async stop (): Promise<void> {
    await closeServer(this.server)
  }
}
