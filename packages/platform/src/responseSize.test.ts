import { expect } from 'chai'
import { RawTarget } from '@carobpitch/proxy'
import { PlatformStore } from './PlatformStore.js'

const ANNOUNCED_BYTES = 1_073_741_824

describe('PlatformStore before a response of excessive size', () => {
  it('guards against a response that is collected until its timeout: it is left as soon as its size is known', async () => {
    const server = new RawTarget(({ socket }) => socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${ANNOUNCED_BYTES}\r\n\r\n{`))
    await server.start()
    const store = new PlatformStore({ url: server.url() })
    const page = await store.listPage('servers/', { transferTimeoutMs: 60_000 })
    expect(page.isErr).to.equal(true)
    const changes = await store.changesAfter('servers/', 1, 10, { transferTimeoutMs: 60_000 })
    expect(changes.isErr && changes.error.kind).to.equal('too-large')
    await server.untilClosed(0)
    await store.close()
    await server.stop()
  })
})
