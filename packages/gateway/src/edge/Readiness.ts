import type { Server } from 'node:http'
import { closeServer, openServer, type Service } from '@carobpitch/kernel'
import type { ListenerSettings } from '@carobpitch/schema'
import { createPathServer } from './createPathServer.js'

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
 * Readiness endpoint, by which the platform decides whether to send callers to this instance.
 * @public
 */
export class Readiness implements Service {
  private readonly options: ReadinessOptions
  private readonly server: Server

  constructor (options: ReadinessOptions) {
    this.options = options
    this.server = createPathServer({
      [options.path]: (_request, response) => { response.writeHead(options.isReady() ? 200 : 503, { 'content-length': 0 }).end() }
    })
  }

  async start (): Promise<void> {
    await openServer(this.server, this.options.listen)
  }

  async stop (): Promise<void> {
    await closeServer(this.server)
  }
}
