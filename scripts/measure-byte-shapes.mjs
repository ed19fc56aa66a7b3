/**
 * Measures the peak memory of a front process, and the slowest request of other callers, while bytes of different shapes pass through it.
 * Build and bundle first. Usage: node scripts/measure-byte-shapes.mjs [directory of the bundle] [text in the names of the shapes]
 */
import { BYTE_SHAPES, playByteShape } from '../packages/daemon/dist/front/testing/byteShapes.js'

const DURATION_MS = 5_000
const BYTES_PER_MB = 1_000_000

const [bundleDirectory, text = ''] = process.argv.slice(2)
console.log('| shape | idle memory | peak memory | other requests answered | slowest | process |\n|---|---|---|---|---|---|')
for (const [name, shape] of Object.entries(BYTE_SHAPES).filter(([shape]) => shape.includes(text))) {
  const { isRunning, idleMemoryBytes, peakMemoryBytes, otherAnswered, otherRequests, slowestOtherMs } = await playByteShape(shape, { durationMs: DURATION_MS, bundleDirectory })
  const [idleMb, peakMb] = [idleMemoryBytes, peakMemoryBytes].map(bytes => Math.round(bytes / BYTES_PER_MB))
  console.log(`| ${name} | ${idleMb} MB | ${peakMb} MB | ${otherAnswered} of ${otherRequests} | ${Math.round(slowestOtherMs)} ms | ${isRunning ? 'runs' : 'ended'} |`)
}
