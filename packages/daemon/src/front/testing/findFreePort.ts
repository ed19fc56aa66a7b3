import { once } from 'node:events'
import { createServer } from 'node:net'

/** The range lies below the system's ephemeral ports, so that no outgoing connection takes the port of a front that restarts. */
const PORT_MIN = 16_000
const PORT_MAX = 23_999
const ATTEMPTS_MAX = 200

const assignedPorts = new Set<number>()

/**
 * Finds a loopback port that is free and that this process has not returned before.
 * @throws Error if none is found within `ATTEMPTS_MAX` random attempts.
 */
export async function findFreePort (): Promise<number> {
  for (let attempt = 0; attempt < ATTEMPTS_MAX; attempt += 1) {
    const port = PORT_MIN + Math.floor(Math.random() * (PORT_MAX - PORT_MIN + 1))
    if (assignedPorts.has(port)) continue
    assignedPorts.add(port)
    if (await isFree(port)) return port
  }
  throw new Error('no free loopback port found')
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  return await new Promise(resolve => {
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', async () => {
      server.close()
      await once(server, 'close')
      resolve(true)
    })
  })
}
