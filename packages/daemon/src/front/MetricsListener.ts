import type { Server, ServerResponse } from 'node:http'
import { collectDefaultMetrics, type Registry } from 'prom-client'
import { createPathServer } from '@carobpitch/gateway'
import { closeServer, openServer, type Service } from '@carobpitch/kernel'
import type { ListenerSettings } from '@carobpitch/schema'

/**
 * Options of `MetricsListener`.
 * @public
 */
export interface MetricsListenerOptions {
  listen: ListenerSettings
  registry: Registry
  dump: () => unknown
}

/**
 * Serves `/metrics` and the state dump `/dump` of a front process.
 * @public
 */
export class MetricsListener implements Service {
  private readonly options: MetricsListenerOptions
  private readonly server: Server
  private hasDefaultMetrics = false

  constructor (options: MetricsListenerOptions) {
    this.options = options
    this.server = createPathServer({
      '/metrics': (_request, response) => { this.writeMetrics(response) },
      '/dump': (_request, response) => {
        response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(options.dump()))
      }
    })
  }

  async start (): Promise<void> {
    await openServer(this.server, this.options.listen)
  }

  async stop (): Promise<void> {
    await closeServer(this.server)
  }

  private async writeMetrics (response: ServerResponse): Promise<void> {
    const { registry } = this.options
    // Node's default metrics start observers, which are not needed before the first scrape.
    if (!this.hasDefaultMetrics) collectDefaultMetrics({ register: registry })
    this.hasDefaultMetrics = true
    const text = await registry.metrics()
    response.writeHead(200, { 'content-type': registry.contentType }).end(text)
  }
}
