import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { readInstanceList } from './instanceList.js'

describe('readInstanceList', () => {
  let server: Server
  let body: string
  let url: string

  before(async () => {
    server = createServer((_request, response) => response.end(body))
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/instances`
  })

  after(() => { server.close() })

  it('returns the peer URLs of live instances', async () => {
    body = JSON.stringify({ instances: [{ address: '10.0.0.1:7000', state: 'live', zone: 'a' }, { address: '[::1]:7000', state: 'live' }, { address: '10.0.0.2:7000', state: 'leaving' }] })
    expect((await readInstanceList(url)).unwrapOr([])).to.deep.equal(['http://10.0.0.1:7000', 'http://[::1]:7000'])
  })

  it('returns an error for an invalid list, guarding against an exception at startup', async () => {
    for (const bad of ['not json', '{}', JSON.stringify({ instances: [{ address: 'host.example:80', state: 'live' }] })]) {
      body = bad
      expect((await readInstanceList(url)).isErr).to.equal(true)
    }
  })
})
