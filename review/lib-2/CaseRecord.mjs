import { createWriteStream } from 'node:fs'
import { once } from 'node:events'
import { performance } from 'node:perf_hooks'

/** Writes one line for each thing that was sent, answered or run to the `record.txt` of a case. */
export class CaseRecord {
  constructor (path) {
    this.stream = createWriteStream(path)
    this.startedAtMs = performance.now()
  }

  /** Adds a line and returns the time of it on the monotonic clock. */
  add (event, fields = {}) {
    const nowMs = performance.now()
    const parts = Object.entries(fields).filter(([, value]) => value !== undefined).map(([name, value]) => `${name}=${value}`)
    this.stream.write(`${((nowMs - this.startedAtMs) / 1_000).toFixed(3)}s ${[event, ...parts].join(' ')}\n`)
    return nowMs
  }

  async close () {
    this.stream.end()
    await once(this.stream, 'close')
  }
}
