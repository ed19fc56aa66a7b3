import { expect } from 'chai'
import { playRollout, type PlayedVersion, type PlayOptions, type PlayResult } from './testing/playRollout.js'

const SEEDS = 100

function play (options: Omit<PlayOptions, 'seed'>): PlayResult[] {
  return Array.from({ length: SEEDS }, (_, index) => playRollout({ seed: index * 7_919 + 1, ...options }))
}

function shareOf (results: readonly PlayResult[], matches: (result: PlayResult) => boolean): number {
  return results.filter(matches).length / results.length
}

const BAD_VERSIONS: Record<string, Required<PlayedVersion>['bad']> = {
  'fails half of its answers at once': { share: 0.5, as: 'failed' },
  'fails from 4 s after the order': { share: 0.5, as: 'failed', fromMs: 4_000 },
  'fails on the rarer of two routes only': { share: 0.5, as: 'failed', route: 'b' },
  'is five times slower in half of its answers': { share: 0.5, as: 'slow' },
  'is slower from 4 s after the order': { share: 0.5, as: 'slow', fromMs: 4_000 },
  'is slower on the rarer of two routes only': { share: 0.5, as: 'slow', route: 'b' }
}

describe('decideRollout', () => {
  for (const requestsPerS of [10, 100, 250]) {
    describe(`${requestsPerS} requests/s for 12 s`, () => {
      for (const [what, bad] of Object.entries(BAD_VERSIONS)) {
        it(`guards against a version that ${what}`, () => {
          const results = play({ requestsPerS, bad })
          expect(shareOf(results, ({ phase }) => phase === 'completed'), 'wrongly completed').to.be.at.most(0.03)
          expect(Math.max(...results.map(({ excessInTrial }) => excessInTrial)), 'exposure over its bound until trusted').to.be.at.most(bad.fromMs === undefined || requestsPerS < 100 ? 12 : 260)
          expect(shareOf(results, ({ excessAtEnd }) => excessAtEnd > 0), 'exposure over its bound at the end').to.be.at.most(bad.fromMs === undefined ? 0.03 : 0.1)
          expect(Math.max(...results.map(({ afterClearMs }) => afterClearMs)), 'requests after the 50th bad answer').to.be.at.most(5_000)
        })
      }
    })
  }

  for (const [requestsPerS, durationMs, completed] of [[250, 12_000, 0.98], [100, 12_000, 0.96], [250, 16_000, 0.98], [10, 16_000, 0.65], [10, 12_000, 0.25]] as const) {
    it(`completes good versions within ${durationMs / 1_000} s at ${requestsPerS} requests/s, where there are enough answers`, () => {
      const results = play({ requestsPerS, durationMs })
      expect(shareOf(results, ({ phase }) => phase === 'completed')).to.be.at.least(completed)
      expect(Math.max(...results.map(({ endedAtMs }) => endedAtMs))).to.be.below(durationMs - 500)
    })
  }

  it('rolls back a version whose targets never come', () => {
    const [result] = play({ requestsPerS: 100, newTargets: 0 })
    expect(result).to.include({ phase: 'rolled-back', reason: 'unproven', exposed: 0 })
  })
})
