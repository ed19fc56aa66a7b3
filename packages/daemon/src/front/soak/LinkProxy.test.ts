import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { expect } from 'chai'
import { LinkProxy } from './LinkProxy.js'

/** Reads to the end; iteration over a socket would destroy it, and its sending half with it. */
async function collect (socket: Socket): Promise<Buffer> {
  const chunks: Buffer[] = []
  socket.on('data', chunk => chunks.push(chunk))
  await once(socket, 'end')
  return Buffer.concat(chunks)
}

describe('LinkProxy', () => {
  const received: Buffer[] = []
  const server = createServer({ allowHalfOpen: true }, async socket => {
    received.push(await collect(socket))
    socket.end('answer')
  })
  let proxy: LinkProxy

  before(async () => { await once(server.listen(0, '127.0.0.1'), 'listening') })

  beforeEach(async () => {
    received.length = 0
    proxy = new LinkProxy((server.address() as AddressInfo).port)
    await proxy.start()
  })

  afterEach(async () => { await proxy.stop() })

  after(() => server.close())

  it('keeps the order of bytes and of the end on a delayed and slow link, and half-closed connections open', async () => {
    Object.assign(proxy, { delayMs: 10.5, rateBytesPerS: 4_000_000 })
    const sent = Buffer.from(Array.from({ length: 200_000 }, (_, index) => index % 251))
    const socket = connect({ port: proxy.port(), host: '127.0.0.1', allowHalfOpen: true })
    for (let at = 0; at < sent.length; at += 997) {
      socket.write(sent.subarray(at, at + 997))
      if (at % 7 === 0) await new Promise(resolve => setImmediate(resolve))
    }
    socket.end()
    expect((await collect(socket)).toString()).to.equal('answer')
    expect(received[0]?.equals(sent)).to.equal(true)
  })

  it('resets connections', async () => {
    const socket = connect({ port: proxy.port(), host: '127.0.0.1' })
    await once(socket, 'connect')
    socket.write('request')
    await new Promise(resolve => setTimeout(resolve, 20))
    proxy.reset()
    const [error] = await once(socket, 'error') as [NodeJS.ErrnoException]
    expect(error.code).to.equal('ECONNRESET')
  })
})
