import { expect } from 'chai'
import { RawTarget } from '@carobpitch/proxy'
import type { TargetView } from '@carobpitch/routing'
import { probeTarget } from './probeTarget.js'

const PROBE_END_MAX_MS = 1_500
const SEND_INTERVAL_MS = 2
const FILLER = 'x'.repeat(16_384)

describe('probeTarget', () => {
  let target: RawTarget

  async function probe (start: string, chunk: string | undefined): Promise<{ kind: string, elapsedMs: number }> {
    target = new RawTarget(({ socket }) => {
      if (chunk === undefined) {
        socket.end(start)
        return
      }
      socket.write(start)
      const timer = setInterval(() => { if (!socket.writableNeedDrain) socket.write(chunk) }, SEND_INTERVAL_MS)
      socket.once('close', () => clearInterval(timer))
    })
    await target.start()
    const startedAtMs = performance.now()
    const { kind } = await probeTarget({ configuration: { url: target.url() } } as TargetView, '/healthz')
    const elapsedMs = performance.now() - startedAtMs
    await target.untilClosed(0)
    await target.stop()
    return { kind, elapsedMs }
  }

  describe('at a target in trouble', () => {
    const forms: Record<string, [string, string | undefined]> = {
      'a head without end': ['HTTP/1.1 200 OK\r\nx-filler: ', FILLER],
      'a status line without end': ['HTTP/1.1 200 ', FILLER],
      'interim responses without end': ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(50)],
      'bytes that are no response': ['', FILLER],
      'a head that stops': ['HTTP/1.1 200 OK\r\ncontent-le', undefined],
      'a body without end': ['HTTP/1.1 200 OK\r\n\r\n', FILLER]
    }
    for (const [name, [start, chunk]] of Object.entries(forms)) {
      it(`guards against a probe that is held by, or a target that counts as healthy after, ${name}`, async () => {
        const { kind, elapsedMs } = await probe(start, chunk)
        expect(kind).to.equal('failed')
        expect(elapsedMs).to.be.below(PROBE_END_MAX_MS)
      })
    }
  })
})
