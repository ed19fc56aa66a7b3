import { once } from 'node:events'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { expect } from 'chai'
import { DeadlineTimer } from './DeadlineTimer.js'
import { TargetConnectionPool } from './TargetConnectionPool.js'

const CONNECT_TIMEOUT_MS = 50
const ROUNDS = 5

describe('reachability of a target', () => {
  let server: Server
  let pool: TargetConnectionPool

  beforeEach(async () => {
    server = createServer(() => {}).listen(0, '127.0.0.1')
    await once(server, 'listening')
    const { port } = server.address() as AddressInfo
    pool = new TargetConnectionPool({ url: `http://127.0.0.1:${port}`, connectionsMax: 3, connectTimeoutMs: CONNECT_TIMEOUT_MS, timer: new DeadlineTimer() })
  })

  afterEach(async () => {
    await pool.close()
    server.close()
  })

  /** Keeps the process from handling any event. */
  function block (durationMs: number): void {
    const untilMs = performance.now() + durationMs
    while (performance.now() < untilMs);
  }

  it('guards against a target that is taken for unreachable because this process was busy', async () => {
    const results: boolean[] = []
    for (let round = 0; round < ROUNDS; round += 1) {
      const isReachable = pool.isReachable()
      block(2 * CONNECT_TIMEOUT_MS)
      results.push(await isReachable)
    }
    expect(results).to.deep.equal(Array(ROUNDS).fill(true))
  })

  it('guards against a target that is taken for unreachable because it resets connections beyond its limit', async () => {
    server.on('connection', socket => socket.resetAndDestroy())
    const results: boolean[] = []
    for (let round = 0; round < ROUNDS; round += 1) results.push(await pool.isReachable())
    expect(results).to.deep.equal(Array(ROUNDS).fill(true))
  })

  describe('of a target that is no longer registered', () => {
    it('guards against a target at work that is taken for unreachable', async () => {
      pool.retire()
      expect(await pool.isReachable()).to.equal(true)
    })

    it('guards against a check that fails because the target leaves meanwhile', async () => {
      const isReachable = pool.isReachable()
      pool.retire()
      expect(await isReachable).to.equal(true)
    })

    it('guards against a connection that is kept after the check', async () => {
      const accepted = once(server, 'connection')
      pool.retire()
      await pool.isReachable()
      const [socket] = await accepted
      socket.resume()
      await once(socket, 'close')
      expect(pool.dump()).to.deep.equal({ busy: 0, idle: 0, spare: 0 })
    })
  })

  it('does not take a target for reachable that refuses connections', async () => {
    server.close()
    await once(server, 'close')
    expect(await pool.isReachable()).to.equal(false)
  })
})
