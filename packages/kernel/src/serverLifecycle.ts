import { once } from 'node:events'
import type { Server } from 'node:http'

/** Starts to listen on an address. Rejects when the address is in use. @public */
export async function openServer (server: Server, { host, port, backlog }: { host: string, port: number, backlog?: number }): Promise<void> {
  server.listen({ port, host, ...(backlog === undefined ? {} : { backlog }) })
  await once(server, 'listening')
}

/** Closes a server and all its connections at once. @public */
export async function closeServer (server: Server): Promise<void> {
  const closed = new Promise(resolve => server.close(resolve))
  server.closeAllConnections()
  await closed
}
