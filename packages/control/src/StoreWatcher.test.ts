import { expect } from 'chai'
import { Result } from 'true-myth'
import { EventLog } from '@carobpitch/kernel'
import { StoreWatcher, type StoreWatcherOptions } from './StoreWatcher.js'
import { installFakeClock } from './testing/fakeClock.js'

/** Time within which a change has to be in force everywhere. */
const IN_FORCE_MS = 4_000
/** Outages that end at different moments of a backoff. */
const OUTAGES_S = Array.from({ length: 12 }, (_, index) => 30 + index)
const MEMBERS = 114
/** Reads of one store reader while the store is unavailable. */
const READS_PER_S_MAX = 2

describe('StoreWatcher', () => {
  let clock: ReturnType<typeof installFakeClock>

  beforeEach(() => { clock = installFakeClock() })
  afterEach(() => clock.uninstall())

  describe('after an outage of the store in a large fleet', () => {
    for (const outageS of OUTAGES_S) {
      it(`guards against a backoff that outlasts the time in which a change has to be in force (${outageS} s)`, async () => {
        let isDown = true
        let adoptedAtMs: number | undefined
        let reads = 0
        const options = {
          store: { watch: () => ({ close: () => {} }) },
          configurationStore: {
            key: 'configuration',
            readIfChanged: async () => {
              reads += 1
              if (isDown) return Result.err({ kind: 'store-unavailable', reason: 'away' })
              return Result.ok({ configuration: { revision: 2 }, value: 'revision 2' })
            }
          },
          adopter: { current: () => ({ revision: adoptedAtMs === undefined ? 1 : 2 }), tryAdopt: () => { adoptedAtMs ??= performance.now() } },
          announcements: { handleStoreRead: () => {}, oldestAgeMs: () => 0 },
          membership: { isStoreReader: () => true, knownMembers: () => Array.from({ length: MEMBERS }) },
          freshness: { recordStoreRead: () => {} },
          log: new EventLog({ silent: true }),
          random: () => 0.5
        } as unknown as StoreWatcherOptions
        const watcher = new StoreWatcher(options)
        watcher.start()
        await clock.tickAsync(outageS * 1_000)
        expect(reads).to.be.at.most(READS_PER_S_MAX * outageS)
        isDown = false
        const returnedAtMs = performance.now()
        await clock.tickAsync(30_000)
        watcher.stop()
        expect((adoptedAtMs ?? Infinity) - returnedAtMs).to.be.below(IN_FORCE_MS)
      })
    }
  })
})
