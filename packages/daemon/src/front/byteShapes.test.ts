import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import { expect } from 'chai'
import { BYTE_SHAPES, playByteShape, type ByteShape } from './testing/byteShapes.js'

const run = promisify(execFile)
const DURATION_MS = 1_000
/** Far below the 350 MB of a small deployment. */
const MEMORY_MAX_BYTES = 200_000_000

describe('the bundled front program as a process of a small deployment', () => {
  before(async () => { await run(process.execPath, ['scripts/bundle-front.mjs']) })

  for (const name of [
    'endless response, one-byte chunks, callers read',
    'requests of 65,000 one-byte chunks',
    'endless requests, one-byte chunks, target does not read',
    'response that the target ends while it waits for an earlier one',
    'response that the target resets while it waits for an earlier one'
  ]) {
    it(`guards against a process that ends by itself, with the requests of all other callers: ${name}`, async () => {
      const result = await playByteShape(BYTE_SHAPES[name] as ByteShape, { durationMs: DURATION_MS })
      expect(result.isRunning).to.equal(true)
      expect(result.otherAnswered).to.equal(result.otherRequests)
      expect(result.peakMemoryBytes).to.be.below(MEMORY_MAX_BYTES)
    })
  }
})
