import { expect } from 'chai'
import { ProxyRig } from './testing/ProxyRig.js'
import { RawTarget } from './testing/RawTarget.js'
import { sendWithoutEnd } from './testing/sendWithoutEnd.js'

const DEADLINE_MS = 500
/** Time after its deadline within which a request ends. */
const END_MARGIN_MS = 500
/** More than the largest head and the buffers of a connection together. */
const RECEIVED_MAX_BYTES = 8_388_608

const FILLER = 'x'.repeat(16_384)
const FORMS: Record<string, [head: string, chunk: string]> = {
  'a status line': ['HTTP/1.1 200 ', FILLER],
  'one header': ['HTTP/1.1 200 OK\r\nx-filler: ', FILLER],
  'many headers': ['HTTP/1.1 200 OK\r\n', `x-filler: ${'x'.repeat(100)}\r\n`.repeat(50)],
  'interim responses': ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(50)],
  'bytes that are no response': ['', FILLER],
  'a body in chunks': ['HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n', `4000\r\n${FILLER}\r\n`],
  'a body without framing': ['HTTP/1.1 200 OK\r\n\r\n', FILLER],
  'the extension of a chunk': ['HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;', FILLER],
  trailers: ['HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n', `x-filler: ${'x'.repeat(100)}\r\n`.repeat(50)],
  'the body of a refusal': ['HTTP/1.1 503 Busy\r\ntransfer-encoding: chunked\r\n\r\n', `4000\r\n${FILLER}\r\n`]
}

describe('a response without end', () => {
  for (const [name, [head, chunk]] of Object.entries(FORMS)) {
    it(`guards against a request that is held beyond its deadline, or gets a part as a whole response, by ${name}`, async () => {
      let sentBytes = (): number => 0
      const target = new RawTarget(({ socket }) => { sentBytes = sendWithoutEnd(socket, head, chunk) })
      await target.start()
      const rig = await ProxyRig.start({ targetUrls: [target.url()], service: { notRunStatuses: [503] }, takeRetryToken: () => false })
      const startedAtMs = performance.now()
      const response = await rig.call({ headers: { 'carobpitch-deadline-ms': String(DEADLINE_MS) } }).catch(() => ({ status: 0, isComplete: false }))
      expect(response.status === 200 && response.isComplete).to.equal(false)
      expect(performance.now() - startedAtMs).to.be.below(DEADLINE_MS + END_MARGIN_MS)
      expect(sentBytes()).to.be.below(RECEIVED_MAX_BYTES)
      await target.untilClosed(0)
      expect(rig.scheduler.openGrants).to.equal(0)
      await rig.stop()
      await target.stop()
    })
  }
})
