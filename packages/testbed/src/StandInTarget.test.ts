import { connect } from 'node:net'
import { expect } from 'chai'
import { StandInTarget } from './StandInTarget.js'
import { cutPointSchema } from './target/TargetBehaviour.js'
import { TargetControl } from './target/TargetControl.js'

describe('stand-in target', () => {
  let target: StandInTarget

  beforeEach(async () => {
    target = new StandInTarget({ targetId: 't1', serviceTimeMs: () => 1 })
    await target.start()
  })
  afterEach(() => target.stop())

  function sendRequest (requestId: string): Promise<string> {
    return new Promise(resolve => {
      let received = ''
      const socket = connect(Number(new URL(target.url()).port), '127.0.0.1')
      socket.on('data', chunk => { received += String(chunk) })
      socket.on('error', () => {})
      socket.on('close', () => resolve(received))
      socket.write(`POST /book HTTP/1.1\r\nhost: t\r\ncarobpitch-request-id: ${requestId}\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}`)
    })
  }

  for (const point of cutPointSchema.options) {
    const runs = point === 'accept' || point.startsWith('request') ? 0 : 1
    it(`closes the connection at ${point} after ${runs} runs, and only once`, async () => {
      target.change({ cut: { point, count: 1 } })
      const received = await sendRequest('cut')
      expect(received.endsWith('"end":true}'), received).to.equal(false)
      expect(target.ledger.map(run => run.requestId)).to.deep.equal(runs === 0 ? [] : ['cut'])
      expect(await sendRequest('whole')).to.match(/"end":true}$/)
    })
  }

  it('responds with another request id when configured to', async () => {
    target.change({ mismatchedResponses: 1 })
    expect(await sendRequest('r1')).to.not.include('"requestId":"r1"')
    expect(await sendRequest('r2')).to.include('"requestId":"r2"')
  })

  it('sends a second, unsolicited response when configured to', async () => {
    target.change({ surplusResponses: 1 })
    const received = await sendRequest('r1')
    expect(received.match(/HTTP\/1\.1 200/g)).to.have.length(2)
  })

  it('refuses requests with a status and runs none', async () => {
    target.change({ refuseStatus: 503 })
    expect(await sendRequest('r1')).to.match(/^HTTP\/1\.1 503/)
    expect(target.ledger).to.deep.equal([])
  })

  it('fails fast and records the request as run', async () => {
    target.change({ failFast: true })
    expect(await sendRequest('r1')).to.match(/^HTTP\/1\.1 500/)
    expect(target.ledger.map(run => run.end)).to.deep.equal(['failed'])
  })

  it('starts cold at the same address after a kill', async () => {
    const url = target.url()
    await target.kill()
    expect(await sendRequest('while-dead')).to.equal('')
    await target.revive()
    expect(target.url()).to.equal(url)
    expect(target.isCold()).to.equal(true)
    expect(await sendRequest('r2')).to.match(/^HTTP\/1\.1 200/)
  })

  it('is controlled over HTTP and rejects an unknown field', async () => {
    const control = new TargetControl(new Map([['t1', target]]))
    await control.start()
    const patch = (body: unknown): Promise<Response> => fetch(`${control.url()}/targets/t1`, { method: 'PATCH', body: JSON.stringify(body) })
    expect((await patch({ refuseStatus: 503 })).status).to.equal(200)
    expect(await sendRequest('r1')).to.match(/^HTTP\/1\.1 503/)
    expect((await patch({ refuseStatu: 503 })).status).to.equal(400)
    await fetch(`${control.url()}/targets/t1/cold`, { method: 'POST' })
    expect(target.isCold()).to.equal(true)
    const ledger = await (await fetch(`${control.url()}/targets/t1/ledger`)).json()
    expect(ledger).to.include({ targetId: 't1', notRunCount: 1 })
    await control.stop()
  })
})
