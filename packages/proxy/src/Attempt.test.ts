import { expect } from 'chai'
import type { Client } from 'undici'
import { Attempt, type AttemptOptions, type AttemptResult } from './Attempt.js'

describe('Attempt', () => {
  const client = { dispatch: () => true } as unknown as Client

  function attemptWith (results: AttemptResult[], options: Partial<AttemptOptions> = {}): Attempt {
    const attempt = new Attempt({
      method: 'POST',
      path: '/',
      headers: [],
      body: undefined,
      requestId: 'r1',
      notRunStatuses: [],
      sink: { takeHead: () => true, takeData: () => true, onAttemptEnd: (_attempt, result) => { results.push(result) } },
      checkBeforeSend: () => undefined,
      setReading: () => {},
      ...options
    })
    attempt.start(client)
    return attempt
  }

  it('ends as not-run when cancelled before its connection opens, and then aborts its write', () => {
    const results: AttemptResult[] = []
    const attempt = attemptWith(results)
    attempt.cancel('cancelled', 'cancelled')
    let aborts = 0
    attempt.onConnect(() => { aborts += 1 })
    expect(results.map(({ verdict }) => verdict)).to.deep.equal(['not-run'])
    expect([aborts, attempt.headWrittenAtMs]).to.deep.equal([1, undefined])
  })

  it('aborts a second write, guarding against a second run on another connection', () => {
    const results: AttemptResult[] = []
    const attempt = attemptWith(results)
    let aborts = 0
    attempt.onConnect(() => {})
    attempt.onConnect(() => { aborts += 1 })
    expect(aborts).to.equal(1)
  })

  it('is not-run while the head of a streamed body is not written, and may-have-run from then on', () => {
    for (const [isWritten, verdict] of [[false, 'not-run'], [true, 'may-have-run']] as const) {
      const results: AttemptResult[] = []
      const attempt = attemptWith(results, { body: {} as never })
      attempt.onConnect(() => {})
      if (isWritten) attempt.onBodySent()
      attempt.onError(Object.assign(new Error('closed'), { code: 'UND_ERR_SOCKET' }))
      expect(results[0]?.verdict).to.equal(verdict)
    }
  })

  it('reports a body shorter than its content length as truncated, even if the parser reports it as complete', () => {
    const results: AttemptResult[] = []
    const attempt = attemptWith(results)
    attempt.onConnect(() => {})
    attempt.onHeaders(200, [Buffer.from('content-length'), Buffer.from('10')])
    attempt.onData(Buffer.alloc(9))
    attempt.onComplete()
    expect(results[0]).to.include({ verdict: 'may-have-run', reason: 'truncated-response', isComplete: false, isReusable: false })
  })

  it('ends only once, whatever events follow', () => {
    const results: AttemptResult[] = []
    const attempt = attemptWith(results)
    attempt.onConnect(() => attempt.onError(new Error('aborted')))
    attempt.cancel('deadline-exceeded', 'timed-out')
    attempt.onError(new Error('late'))
    attempt.cancel('cancelled', 'cancelled')
    expect(results).to.have.length(1)
    expect(results[0]).to.include({ verdict: 'may-have-run', reason: 'deadline-exceeded', kind: 'timed-out' })
  })
})
