import { expect } from 'chai'
import { ProxyRig } from './testing/ProxyRig.js'
import { RawTarget, rawResponse, type RawBehaviour } from './testing/RawTarget.js'

describe('connections to targets', () => {
  let target: RawTarget
  let rig: ProxyRig

  async function start (behaviour: RawBehaviour): Promise<void> {
    target = new RawTarget(behaviour)
    await target.start()
    rig = await ProxyRig.start({ targetUrls: [target.url()] })
  }

  afterEach(async () => {
    await rig.stop()
    await target.stop()
  })

  async function untilSockets (count: number): Promise<void> {
    while (target.sockets.length < count) await new Promise(setImmediate)
  }

  function counts (): unknown {
    return (rig.listener.dump() as { connections: Record<string, unknown> }).connections['chumon-1']
  }

  async function untilCounts (expected: unknown): Promise<void> {
    while (JSON.stringify(counts()) !== JSON.stringify(expected)) await new Promise(setImmediate)
  }

  it('are opened in advance while all others are busy, so that the next request does not wait for one', async () => {
    await start(() => {})
    const first = rig.call()
    await target.untilRequests(1)
    await untilCounts({ busy: 1, idle: 0, spare: 1 })
    const second = rig.call()
    await target.untilRequests(2)
    expect(target.requests[1]?.connection).to.be.lessThan(2)
    for (const { socket } of target.requests) socket.write(rawResponse(''))
    await Promise.all([first, second])
  })

  it('never exceed the slots of the target', async () => {
    await start(() => {})
    const calls = [rig.call(), rig.call(), rig.call()]
    await target.untilRequests(3)
    for (let turn = 0; turn < 20; turn += 1) await new Promise(setImmediate)
    expect(target.sockets.filter(socket => !socket.closed)).to.have.length(3)
    for (const { socket } of target.requests) socket.write(rawResponse(''))
    await Promise.all(calls)
  })

  it('are reused one request at a time', async () => {
    await start(({ socket }) => socket.write(rawResponse('')))
    for (let turn = 0; turn < 5; turn += 1) await rig.call()
    expect(new Set(target.requests.map(({ connection }) => connection)).size).to.equal(1)
  })

  it('are not used if the target closes them after they are opened in advance', async () => {
    await start(({ socket }) => socket.write(rawResponse('fine', ['connection: close'])))
    await rig.call()
    await untilSockets(2)
    for (const socket of target.sockets) socket.destroy()
    await untilCounts({ busy: 0, idle: 0, spare: 0 })
    expect((await rig.call()).body).to.equal('fine')
  })

  it('are not used if the target writes to them before a request, guarding against the response to another request', async () => {
    await start(({ socket }) => socket.write(rawResponse('fine', ['connection: close'])))
    await rig.call()
    await untilSockets(2)
    await untilCounts({ busy: 0, idle: 0, spare: 1 })
    const spare = target.sockets.findIndex((_socket, index) => target.received[index] === '')
    target.sockets[spare]?.write(rawResponse('foreign'))
    for (let turn = 0; turn < 20; turn += 1) await new Promise(setImmediate)
    expect((await rig.call()).body).to.equal('fine')
  })

  it('are closed when their target is removed from the configuration', async () => {
    await start(({ socket }) => socket.write(rawResponse('')))
    await rig.call()
    await untilSockets(2)
    rig.configuration.adopt({ revision: 2, services: { chumon: {} }, failureDomains: { fukuoka: {} }, targets: {} })
    await Promise.all([target.untilClosed(0), target.untilClosed(1)])
  })
})
