import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { SimulatedFleet, type SimulatedFleetOptions } from './testing/SimulatedFleet.js'

/** Bounds of the grown deployments. */
const CONFIG_APPLY_MS = 2_500
const CONTACT_MS = 3_000
/** Configuration with 1,900 routes. */
const LARGE_CONFIGURATION_BYTES = 335_000
/** Largest value that the store accepts. */
const VALUE_MAX_BYTES = 1_048_576

const VERSION = 17
/** Each seed starts the instances' loops at other moments. */
const SEEDS = [1, 2, 3, 4, 5]

describe('a confirmed configuration in a fleet of 116 unequal instances', function () {
  this.timeout(60_000)
  let clock: Clock & { uninstall: () => void }

  beforeEach(() => {
    clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] }) as never
  })

  afterEach(() => clock.uninstall())

  /** Returns the longest time from the end of the disturbance to the last adoption in several fleets. */
  async function worstDelayMs (disturb: (fleet: SimulatedFleet) => Promise<void> | void, options: SimulatedFleetOptions = {}): Promise<number> {
    const delaysMs = []
    for (const seed of SEEDS) {
      const fleet = new SimulatedFleet({ ...options, seed })
      await fleet.start()
      await clock.tickAsync(4_000 + 170 * seed)
      await disturb(fleet)
      const startedAtMs = performance.now()
      await clock.tickAsync(2 * CONTACT_MS)
      delaysMs.push(fleet.lastAdoptionAtMs(VERSION, fleet.instances.filter(({ isFrozen }) => !isFrozen)) - startedAtMs)
      await fleet.stop()
    }
    return Math.max(...delaysMs)
  }

  describe('after a disturbance of the store', () => {
    it('guards against adoption later than contact after the store drops its history and cuts its watches', async () => {
      const delayMs = await worstDelayMs(async ({ store, confirmConfiguration }) => {
        store.areWatchesSilent = true
        await clock.tickAsync(200)
        confirmConfiguration(VERSION)
        await clock.tickAsync(1_000)
        store.compact()
      })
      expect(delayMs).to.be.below(CONTACT_MS)
    })

    it('guards against a departed target that is still known later than contact after the store drops its history', async () => {
      for (const seed of SEEDS) {
        const fleet = new SimulatedFleet({ seed })
        await fleet.start()
        await clock.tickAsync(4_000 + 170 * seed)
        fleet.store.areWatchesSilent = true
        await clock.tickAsync(200)
        fleet.removeTarget(0)
        await clock.tickAsync(1_000)
        fleet.store.compact()
        expect(fleet.instancesWithTarget(0)).to.have.length(fleet.instances.length)
        await clock.tickAsync(CONTACT_MS)
        expect(fleet.instancesWithTarget(0)).to.have.length(0)
        await fleet.stop()
      }
    })

    for (const behaviour of ['busy', 'silent'] as const) {
      it(`guards against adoption later than contact after the store was ${behaviour} to all`, async () => {
        const delayMs = await worstDelayMs(async ({ store, confirmConfiguration }) => {
          store.behaviourFor = () => behaviour
          await clock.tickAsync(6_000)
          confirmConfiguration(VERSION)
          store.behaviourFor = () => 'serve'
        })
        expect(delayMs).to.be.below(CONTACT_MS)
      })
    }
  })

  describe('while the store is sound', () => {
    it('guards against a large configuration that saturates the links of the relays', async () => {
      const delayMs = await worstDelayMs(fleet => fleet.confirmConfiguration(VERSION, LARGE_CONFIGURATION_BYTES))
      expect(delayMs).to.be.below(CONFIG_APPLY_MS)
    })

    it('guards against store readers with slow links beside instances with fast ones: a configuration near the limit of the store', async () => {
      const delayMs = await worstDelayMs(fleet => fleet.confirmConfiguration(VERSION, VALUE_MAX_BYTES))
      expect(delayMs).to.be.below(CONFIG_APPLY_MS)
    })

    /** Confirms large configurations in quick succession. */
    async function confirmVersions (fleet: SimulatedFleet, versions: number): Promise<void> {
      for (let version = VERSION - versions + 1; version < VERSION; version += 1) {
        fleet.confirmConfiguration(version, LARGE_CONFIGURATION_BYTES)
        await clock.tickAsync(300)
      }
      fleet.confirmConfiguration(VERSION, LARGE_CONFIGURATION_BYTES)
    }

    it('guards against a backlog of outdated versions while large configurations follow each other', async () => {
      const delayMs = await worstDelayMs(async fleet => await confirmVersions(fleet, 5))
      expect(delayMs).to.be.below(CONFIG_APPLY_MS)
    })

    it('guards against a backlog that never reaches a store reader in time, because all links are slow', async () => {
      const delayMs = await worstDelayMs(async fleet => await confirmVersions(fleet, 10), { fastInstancesPerDomain: 0 })
      expect(delayMs).to.be.below(CONFIG_APPLY_MS)
    })

    it('guards against waiting for frozen relays one after the other', async () => {
      const delayMs = await worstDelayMs(fleet => {
        const frozen = fleet.readersOf('zone-1').slice(0, 3)
        for (const reader of frozen) reader.isFrozen = true
        fleet.store.behaviourFor = instanceId => frozen.some(({ record }) => record.instanceId === instanceId) ? 'silent' : 'serve'
        fleet.confirmConfiguration(VERSION)
      })
      expect(delayMs).to.be.below(CONFIG_APPLY_MS)
    })

    for (const [size, sizeBytes] of [['small', 3_000], ['large', LARGE_CONFIGURATION_BYTES]] as const) {
      it(`guards against relays that the store turns away while it serves their followers: ${size} configuration`, async () => {
        const delayMs = await worstDelayMs(fleet => {
          const refused = fleet.readersOf('zone-1').slice(0, 3).map(({ record }) => record.instanceId as string)
          fleet.store.behaviourFor = instanceId => refused.includes(instanceId) ? 'silent' : 'serve'
          fleet.store.cutWatches()
          fleet.confirmConfiguration(VERSION, sizeBytes)
        })
        expect(delayMs).to.be.below(CONFIG_APPLY_MS)
      })
    }
  })
})
