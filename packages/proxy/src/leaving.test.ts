import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import type { AddressList } from './addressList.js'
import { member, ProxyRig } from './testing/ProxyRig.js'
import { RawTarget, rawResponse } from './testing/RawTarget.js'

const KEEP_ALIVE_REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\ncarobpitch-service: chumon\r\n\r\n'

describe('address lists and leaving', () => {
  let clock: Clock
  let target: RawTarget
  let rig: ProxyRig

  async function start (ids: readonly string[]): Promise<void> {
    target = new RawTarget(({ socket }) => socket.write(rawResponse('fine')))
    await target.start()
    rig = await ProxyRig.start({
      targetUrls: [target.url()],
      instancesFor: () => ids.map(id => member(id, id.startsWith('leaving') ? 'leaving' : 'serving'))
    })
  }

  async function list (service = 'chumon'): Promise<AddressList> {
    const response = await rig.call({ path: `/.carobpitch/instances?service=${service}` })
    return JSON.parse(response.body) as AddressList
  }

  async function listIds (): Promise<string[]> {
    return (await list()).instances.map(({ instanceId }) => instanceId)
  }

  beforeEach(() => {
    clock = install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'], now: 1_000_000 })
    clock.tick(1_000)
  })

  afterEach(async () => {
    clock.uninstall()
    await rig.stop()
    await target.stop()
  })

  it('keep the order of members that steering returns, guarding against a second rotation that undoes the first', async () => {
    await start(['a', 'b', 'x', 'y'])
    expect(await listIds()).to.deep.equal(['a', 'b', 'x', 'y'])
    expect(await listIds()).to.deep.equal(['a', 'b', 'x', 'y'])
  })

  it('omit members that are leaving', async () => {
    await start(['a', 'leaving-b', 'c'])
    expect(await listIds()).to.deep.equal(['a', 'c'])
  })

  it('include the revision and the time to live, and are refused for unknown services', async () => {
    await start(['a'])
    expect(await list()).to.include({ service: 'chumon', revision: 1, ttlMs: 5_000 })
    const response = await rig.call({ path: '/.carobpitch/instances?service=nothing' })
    expect([response.status, response.headers['carobpitch-verdict']]).to.deep.equal([404, 'not-run'])
    expect((await rig.call({ path: '/.carobpitch/instances' })).status).to.equal(400)
    expect((await rig.call({ path: '/.carobpitch/instances', method: 'POST' })).status).to.equal(405)
  })

  it('record when the last list that names this instance expires, and omit it once it is leaving', async () => {
    await start(['entry-1', 'b'])
    expect(rig.listener.lastListExpiresAtMs()).to.equal(0)
    await list()
    const expiresAtMs = performance.now() + 5_000
    expect(rig.listener.lastListExpiresAtMs()).to.equal(expiresAtMs)
    rig.listener.beginLeaving()
    clock.tick(1_000)
    expect(await listIds()).to.deep.equal(['b'])
    expect(rig.listener.lastListExpiresAtMs()).to.equal(expiresAtMs)
  })

  it('are refused with 503 when there is no other instance', async () => {
    await start(['entry-1'])
    rig.listener.beginLeaving()
    const response = await rig.call({ path: '/.carobpitch/instances?service=chumon' })
    expect([response.status, response.headers['carobpitch-reason']]).to.deep.equal([503, 'no-instance'])
  })

  it('keep callers\' connections open until the lists have expired, then close them with a response', async () => {
    await start(['entry-1', 'b'])
    await list()
    rig.listener.beginLeaving()
    const caller = rig.connect().send(KEEP_ALIVE_REQUEST)
    expect(await caller.until(/fine$/)).not.to.match(/connection: close/i)
    clock.tick(5_000)
    caller.send(KEEP_ALIVE_REQUEST)
    expect(await caller.untilClosed()).to.match(/fine[^]*connection: close[^]*fine$/i)
  })

  it('count a request as in flight until its response is sent', async () => {
    await start(['entry-1'])
    const caller = rig.connect().send(KEEP_ALIVE_REQUEST)
    await target.untilRequests(1)
    expect(rig.listener.inFlightCount()).to.equal(1)
    await caller.until(/fine$/)
    while (rig.listener.inFlightCount() > 0) await new Promise(setImmediate)
    caller.socket.destroy()
  })
})
