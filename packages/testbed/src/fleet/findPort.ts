import { createServer } from 'node:net'

/** The range lies below the system's ephemeral ports, so that an outgoing connection cannot take a port first. */
const PORT_MIN = 24_000
const PORT_MAX = 31_999
const ATTEMPTS_MAX = 200

const assignedPorts = new Set<number>()

/**
 * Finds a loopback port that is free and that this process has not returned before.
 * @throws Error if no free port is found within `ATTEMPTS_MAX` random attempts.
 * @internal
 */
export async function findPort (): Promise<number> {
  for (let attempt = 0; attempt < ATTEMPTS_MAX; attempt += 1) {
    const port = PORT_MIN + Math.floor(Math.random() * (PORT_MAX - PORT_MIN + 1))
    if (assignedPorts.has(port) || !await isFree(port)) continue
    assignedPorts.add(port)
    return port
  }
  throw new Error('no free loopback port found')
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  return await new Promise(resolve => {
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
