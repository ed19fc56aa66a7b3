import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import polka, { type Request } from 'polka'

/** Answers a request for one path. @public */
export type PathHandler = (request: Request, response: ServerResponse) => void

/** Returns an HTTP server that answers GET requests for the given paths, and 404 for all others. @public */
export function createPathServer (handlers: Readonly<Record<string, PathHandler>>): Server {
  const app = polka({ onNoMatch: (_request, response) => { response.writeHead(404).end() } })
  // polka's types describe an Express request and response; its handlers take Node's.
  for (const [path, handler] of Object.entries(handlers)) {
    app.get(path, (request, response) => handler(request as unknown as Request, response as ServerResponse))
  }
  return createServer(app.handler as unknown as (request: IncomingMessage, response: ServerResponse) => void)
}
