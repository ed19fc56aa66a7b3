import { expect } from 'chai'
import { frontStatusOf, type FrontReason } from './FrontReason.js'

/** Statuses that guarantee that a request has not run and never will. */
const NOT_RUN_STATUSES = [408, 421, 429, 503]

const REASONS_AFTER_SEND: FrontReason[] = [
  'connection-lost', 'truncated-response', 'mismatched-response', 'malformed-response', 'deadline-exceeded', 'connect-failed',
  'connect-timeout', 'no-room', 'no-target', 'target-withdrawn', 'refused-by-target', 'target-failed', 'stopping', 'slow-sender', 'cancelled'
]

describe('frontStatusOf', () => {
  it('guards against a not-run guarantee for a request that may have run, whatever the reason', () => {
    for (const reason of REASONS_AFTER_SEND) expect(NOT_RUN_STATUSES, reason).not.to.include(frontStatusOf(reason, true))
  })

  it('guarantees that a request which was never sent can be retried', () => {
    for (const reason of ['no-room', 'no-target', 'deadline-exceeded', 'no-configuration', 'stopping', 'refused-by-target'] as FrontReason[]) {
      expect(frontStatusOf(reason, false), reason).to.equal(503)
    }
  })

  it('is 404 for a missing route only', () => {
    expect(frontStatusOf('unknown-route', false)).to.equal(404)
    for (const reason of REASONS_AFTER_SEND) expect(frontStatusOf(reason, false)).not.to.equal(404)
  })
})
