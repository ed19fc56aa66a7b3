import { expect } from 'chai'
import type { Verdict } from '@carobpitch/schema'
import { checkContent } from './checkContent.js'
import { nextStep } from './nextStep.js'

describe('caller decisions', () => {
  const cases: Array<[Verdict, number | undefined, boolean, ReturnType<typeof nextStep>]> = [
    ['answered', 200, false, 'finish'],
    ['answered', 500, true, 'finish'],
    ['not-run', undefined, false, 'next-address'],
    ['not-run', 503, false, 'next-address'],
    ['not-run', 429, false, 'next-address'],
    ['not-run', 404, true, 'finish'],
    ['may-have-run', 502, true, 'next-address'],
    ['may-have-run', 502, false, 'finish'],
    ['may-have-run', undefined, false, 'finish']
  ]
  for (const [verdict, status, idempotent, expected] of cases) {
    it(`chooses ${expected} after ${verdict} with status ${status} of ${idempotent ? 'an idempotent' : 'a non-idempotent'} request`, () => {
      expect(nextStep({ verdict, status }, idempotent)).to.equal(expected)
    })
  }

  it('distinguishes a truncated body and a response to another request from a complete response to the request', () => {
    expect(checkContent('{"requestId":"a","end":true}', 'a')).to.equal(undefined)
    expect(checkContent('{"requestId":"a"', 'a')).to.equal('incomplete')
    expect(checkContent('{"requestId":"a"}', 'a')).to.equal('incomplete')
    expect(checkContent('{"requestId":"b","end":true}', 'a')).to.equal('another-request')
  })
})
