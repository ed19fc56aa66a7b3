import { expect } from 'chai'
import fc from 'fast-check'
import type { ServiceName, Verdict } from '@carobpitch/schema'
import { ATTEMPTS_MAX, mayResend, type FailedAttempt } from './mayResend.js'

const failedAttempt: fc.Arbitrary<FailedAttempt> = fc.record({
  service: fc.constant('chumon' as ServiceName),
  verdict: fc.constantFrom<Verdict>('not-run', 'may-have-run', 'answered'),
  reason: fc.constantFrom('connect-failed', 'connection-lost', 'isolated', 'invalid-request'),
  attempts: fc.integer({ min: 1, max: ATTEMPTS_MAX }),
  isIdempotent: fc.boolean(),
  isRetry: fc.boolean(),
  isBodyBuffered: fc.boolean(),
  isResponseStarted: fc.boolean(),
  remainingMs: fc.integer({ min: -1, max: 1 })
})

describe('mayResend', () => {
  it('never resends a request that could run twice, be truncated or be a retry already, guarding against every combination of conditions', () => {
    fc.assert(fc.property(failedAttempt, failed => {
      if (!mayResend(failed, () => true)) return
      expect(failed.verdict === 'not-run' || (failed.verdict === 'may-have-run' && failed.isIdempotent)).to.equal(true)
      expect(failed).to.include({ isRetry: false, isBodyBuffered: true, isResponseStarted: false })
      expect(failed.attempts).to.be.lessThan(ATTEMPTS_MAX)
      expect(failed.remainingMs).to.be.greaterThan(0)
    }))
  })

  it('takes a token only for a request that it would resend, guarding against a wasted retry budget', () => {
    fc.assert(fc.property(failedAttempt, failed => {
      let taken = 0
      expect(mayResend(failed, () => { taken += 1; return false })).to.equal(false)
      expect(taken).to.equal(mayResend(failed, () => true) ? 1 : 0)
    }))
  })

  it('resends a booking that did not run', () => {
    const failed: FailedAttempt = {
      service: 'chumon' as ServiceName,
      verdict: 'not-run',
      reason: 'connect-failed',
      attempts: 1,
      isIdempotent: false,
      isRetry: false,
      isBodyBuffered: true,
      isResponseStarted: false,
      remainingMs: 100
    }
    expect(mayResend(failed, () => true)).to.equal(true)
  })
})
