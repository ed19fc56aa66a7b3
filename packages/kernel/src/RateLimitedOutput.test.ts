import { Writable } from 'node:stream'
import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { RateLimitedOutput } from './RateLimitedOutput.js'
import { EventLog } from './EventLog.js'

/** Collects lines; while it is blocked, it does not complete writes. */
class Sink extends Writable {
  readonly lines: string[] = []
  isBlocked = false

  constructor () {
    super({ decodeStrings: false })
  }

  override _write (line: Buffer | string, _encoding: BufferEncoding, callback: () => void): void {
    this.lines.push(String(line))
    if (!this.isBlocked) callback()
  }
}

describe('RateLimitedOutput', () => {
  let clock: Clock & { uninstall: () => void }
  let sink: Sink

  beforeEach(() => {
    clock = FakeTimers.install({ toFake: ['performance', 'Date'] }) as never
    sink = new Sink()
  })

  afterEach(() => clock.uninstall())

  it('drops lines above the rate limit and logs their number before the next line, guarding against a log flood', () => {
    const output = new RateLimitedOutput(sink, { linesPerS: 10, burstLines: 5 })
    for (let line = 0; line < 50; line += 1) output.write(`line ${line}\n`)
    expect(sink.lines).to.have.length(5)
    expect(output.droppedLineCount()).to.equal(45)
    clock.tick(200)
    output.write('later\n')
    expect(sink.lines[5]).to.match(/event=log\.dropped lines=45/)
    expect(sink.lines[6]).to.equal('later\n')
  })

  it('bounds the buffer without blocking, guarding against a reader that has stopped', () => {
    sink.isBlocked = true
    const output = new RateLimitedOutput(sink, { linesPerS: 1_000_000, burstLines: 1_000_000, bufferMaxBytes: 10_000 })
    const line = `${'x'.repeat(99)}\n`
    for (let count = 0; count < 5_000; count += 1) output.write(line)
    expect(sink.writableLength).to.be.at.most(10_000 + line.length)
    expect(output.droppedLineCount()).to.be.greaterThan(4_800)
  })

  it('forwards the lines of an event log', async () => {
    const log = new EventLog({ fields: { instance: 'front-1' }, output: new RateLimitedOutput(sink) })
    log.info('request.ended', { requestId: 'r1', reason: 'two words' })
    await new Promise(resolve => setImmediate(resolve))
    expect(sink.lines.join('')).to.match(/level=info event=request\.ended instance=front-1 requestId=r1 reason="two words"\n/)
  })
})
