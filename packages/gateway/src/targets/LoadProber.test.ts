import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { DeadlineTimer } from '@carobpitch/proxy'
import type { FailureDomainId, ServiceName, TargetId } from '@carobpitch/schema'
import { GatewayTarget } from './GatewayTarget.js'
import { LoadProber } from './LoadProber.js'
import { ProbeRateLimiter } from './ProbeRateLimiter.js'

const PROBES = 8

describe('LoadProber', () => {
  let server: Server
  let timer: DeadlineTimer
  let connections: number

  /** Probes a target one time after the other and returns it. */
  async function probe (idleTimeoutMs: number, pauseMs: number): Promise<GatewayTarget> {
    connections = 0
    server = createServer({ keepAliveTimeout: idleTimeoutMs }, (_request, response) => response.end())
    server.on('connection', () => { connections += 1 })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    timer = new DeadlineTimer()
    const target = new GatewayTarget({
      record: {
        targetId: 'i-1' as TargetId,
        service: 'menzaiko' as ServiceName,
        host: '127.0.0.1',
        port: (server.address() as AddressInfo).port,
        failureDomain: 'zone-a' as FailureDomainId,
        slots: 2,
        version: undefined,
        isDraining: false,
        coldForMs: 0,
        bornAtEpochMs: 1
      },
      policy: { name: 'menzaiko' as ServiceName, probePath: '/healthz', connectionsMax: 200, coldRequestsPerS: 3 },
      timer
    })
    const prober = new LoadProber({
      protocol: { headersSetPerAttempt: new Set(), attemptHeaders: () => [], readOwnHeader: () => true, missingRequestId: 'accepted' } as never,
      timer,
      limiter: new ProbeRateLimiter({ probesPerTargetAndS: () => 1_000, instanceCount: () => 1, targetCount: () => 10 }),
      onMisplaced: () => {},
      onLeaving: () => {}
    })
    await new Promise(resolve => setTimeout(resolve, 100))
    for (let sent = 0; sent < PROBES; sent += 1) {
      await prober.refreshReport(target, 0)
      await new Promise(resolve => setTimeout(resolve, pauseMs))
    }
    return target
  }

  afterEach(() => {
    server.closeAllConnections()
    server.close()
  })

  it('guards against a connection for each probe of a target that announces a second: 8 probes over 1 connection, formerly 8', async () => {
    const target = await probe(1_000, 20)
    expect(connections).to.equal(1)
    expect(target.connections.hasIdle()).to.equal(true)
    await target.connections.close()
  })

  it('guards against a request over a connection that its target is about to close, which may carry a probe', async () => {
    const target = await probe(1_000, 5)
    await new Promise(resolve => setTimeout(resolve, 650))
    expect(target.connections.hasIdle()).to.equal(false)
    expect(target.connections.hasIdle({ mayBeLost: true })).to.equal(true)
    await target.connections.close()
  })
})
