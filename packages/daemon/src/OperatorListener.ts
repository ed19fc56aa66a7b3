import { createHash, timingSafeEqual } from 'node:crypto'
import { createServer, type Server } from 'node:http'
import polka from 'polka'
import type { ListenerSettings } from '@carobpitch/schema'

/**
 * Options of `OperatorListener`.
 * @public
 */
export interface OperatorListenerOptions {
  listen: ListenerSettings
  operatorTokens: Record<string, string>
  dump: () => unknown
}

/**
 * HTTP listener for operators.
 * @public
 */
export class OperatorListener {
  private readonly options: OperatorListenerOptions
  private readonly server: Server = createServer()

  constructor (options: OperatorListenerOptions) {
    this.options = options
  }

  /** Starts to listen. */
  async start (): Promise<void> {
    const app = polka({ server: this.server })
    app.get('/healthz', (_request, response) => { response.end('ok\n') })
    app.get('/dump', (request, response) => {
      if (this.operatorOf(request.headers.authorization) === undefined) {
        response.statusCode = 401
        response.end('{"error":"unknown credential"}\n')
        return
      }
      response.setHeader('content-type', 'application/json')
      response.end(JSON.stringify(this.options.dump()))
    })
    this.server.on('request', app.handler as never)
    const { host, port } = this.options.listen
    await new Promise<void>(resolve => this.server.listen(port, host, resolve))
  }

  /** Closes the listener. */
  async stop (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }

  private operatorOf (authorization = ''): string | undefined {
    const offered = digest(authorization.replace(/^Bearer /, ''))
    let operator: string | undefined
    // Compares with every token, so that the time taken does not tell which one matched.
    for (const [name, token] of Object.entries(this.options.operatorTokens)) {
      if (timingSafeEqual(offered, digest(token))) operator = name
    }
    return operator
  }
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
