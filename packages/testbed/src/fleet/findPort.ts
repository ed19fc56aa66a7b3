import { createServer } from 'node:net'

/** Range below the ports that the system hands out for outgoing connections, so that those cannot take a port first. */
const PORT_MIN = 24_000
const PORT_MAX = 31_999
const ATTEMPTS_MAX = 200

const assignedPorts = new Set<number>()

/**
 * Finds a loopback port that is free now and was not given before by this process.
 * @throws Error when none is found.
 * @internal
 */
export async function findPort (): Promise<number> {
  for (let attempt = 0; attempt < ATTEMPTS_MAX; attempt += 1) {
    const port = PORT_MIN + Math.floor(Math.random() * (PORT_MAX - PORT_MIN + 1))
    if (assignedPorts.has(port) || !await isFree(port)) continue
    assignedPorts.add(port)
    return port
  }
  throw new Error('found no free port')
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  return await new Promise(resolve => {
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
