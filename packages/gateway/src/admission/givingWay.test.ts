import type { AccountName } from '@carobpitch/schema'
import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { decideAdmission } from './decideAdmission.js'
import { ExcessBacklog } from './ExcessBacklog.js'
import { measureRoom } from './measureRoom.js'
import { admittedShare, planAdmission } from './planAdmission.js'
import { playLoad, type Stream, type StreamOutcome } from './testing/playLoad.js'
import { Thinning } from './Thinning.js'

const SLOTS = 20
/** Requests per second of `REQUEST` that fill all slots. */
const FULL_PER_S = 200
const REQUEST = { workMs: 100, objectiveMs: 300, deadlineMs: 1_200, priority: 1 }
const NO_ACCOUNTS = new Map<AccountName, number>()

describe('requests that give way', () => {
  let clock: Clock & { uninstall: () => void }
  let state = 0

  beforeEach(() => {
    clock = FakeTimers.install({ toFake: ['performance'] }) as never
    state = 7
  })
  afterEach(() => clock.uninstall())

  /** Repeatable generator of Park and Miller. */
  function random (): number {
    state = state * 48_271 % 2_147_483_647
    return state / 2_147_483_647
  }

  function compare (streams: readonly Stream[], options: { weights?: ReadonlyMap<AccountName, number>, durationMs?: number } = {}): Record<'before' | 'now', (name: string) => StreamOutcome> {
    const [before, now] = [false, true].map(givesWay => playLoad({ clock, streams, slots: SLOTS, random, givesWay, ...options }))
    if (process.env.SHOW_LOADS !== undefined) console.log(before, now)
    const pickFrom = (outcomes?: Map<string, StreamOutcome>) => (name: string) => outcomes?.get(name) as StreamOutcome
    return { before: pickFrom(before), now: pickFrom(now) }
  }

  const servedShare = ({ served, asked }: StreamOutcome): number => served / asked
  const inTime = ({ served, late }: StreamOutcome): number => served - late

  describe('under load', () => {
    it('answers a burst of the low priority: the high one is served as in calm', () => {
      const { before, now } = compare([
        { ...REQUEST, name: 'urgent', priority: 0, perS: 60 },
        { ...REQUEST, name: 'usual', perS: 100 },
        { ...REQUEST, name: 'burst', perS: 300, fromMs: 2_000, untilMs: 8_000 }
      ])
      expect(servedShare(before('urgent')) < 0.9).to.equal(true)
      expect(servedShare(now('urgent')) > 0.95).to.equal(true)
      expect(inTime(now('urgent')) > inTime(before('urgent'))).to.equal(true)
      expect(now('urgent').turnedAway === 0).to.equal(true)
    })

    it('answers a burst of the high priority: it is never served less than the low one', () => {
      const { before, now } = compare([
        { ...REQUEST, name: 'urgent', priority: 0, perS: 300, fromMs: 2_000, untilMs: 8_000 },
        { ...REQUEST, name: 'usual', perS: 100 }
      ])
      expect(servedShare(now('urgent')) > servedShare(before('urgent'))).to.equal(true)
      expect(inTime(now('urgent')) > inTime(before('urgent'))).to.equal(true)
    })

    it('answers a hot account: its flood costs that account only', () => {
      const accounts = Array.from({ length: 10 }, (_, index) => `account-${index}` as AccountName)
      const weights = new Map(accounts.map(account => [account, 1]))
      const { before, now } = compare(accounts.map((account, index) => ({ ...REQUEST, name: account, account, perS: index === 0 ? 250 : 15 })), { weights })
      for (const account of accounts.slice(1)) expect(servedShare(now(account)) > 0.9).to.equal(true)
      expect(accounts.slice(1).some(account => servedShare(before(account)) < 0.75)).to.equal(true)
      expect(servedShare(now('account-0')) > 0.2).to.equal(true)
    })

    it('answers repeats that do not wait: they cost the account that sends them', () => {
      const weights = new Map(['patient', 'pressing'].map(name => [name as AccountName, 1]))
      const { before, now } = compare([
        { ...REQUEST, name: 'patient', account: 'patient' as AccountName, perS: 90 },
        { ...REQUEST, name: 'pressing', account: 'pressing' as AccountName, perS: 180, repeats: 8, isPatient: false }
      ], { weights, durationMs: 20_000 })
      expect(servedShare(now('patient')) > 0.95).to.equal(true)
      expect(servedShare(before('patient')) < 0.8).to.equal(true)
    })

    it('answers a failure domain with the callers and without the targets: the same share gives way wherever callers arrive', () => {
      const { now } = compare([
        { ...REQUEST, name: 'many', perS: 250, repeats: 0, reaches: [0, 1, 2, 3] },
        { ...REQUEST, name: 'few', perS: 50, repeats: 0, reaches: Array.from({ length: 16 }, (_, index) => index + 4) }
      ])
      expect(Math.abs(servedShare(now('many')) - servedShare(now('few'))) < 0.1).to.equal(true)
    })

    it('answers a service lent to an urgent route of short work: of the same priority, long work gives way first', () => {
      const { before, now } = compare([
        { ...REQUEST, name: 'lent', workMs: 36, objectiveMs: 104, deadlineMs: 521, perS: 100 },
        { ...REQUEST, name: 'own', perS: 250 }
      ])
      expect(servedShare(now('lent')) > servedShare(now('own'))).to.equal(true)
      expect(servedShare(now('lent')) > servedShare(before('lent'))).to.equal(true)
      expect(now('lent').served + now('own').served >= 0.95 * (before('lent').served + before('own').served)).to.equal(true)
    })

    it('changes nothing while the room suffices', () => {
      const { before, now } = compare([{ ...REQUEST, name: 'urgent', priority: 0, perS: 60 }, { ...REQUEST, name: 'usual', perS: 100 }])
      for (const name of ['urgent', 'usual']) {
        expect(now(name).turnedAway).to.equal(0)
        expect(now(name).served >= 0.99 * before(name).served).to.equal(true)
      }
    })

    it('leaves no room unused: as many are served as before', () => {
      const { before, now } = compare([{ ...REQUEST, name: 'all', perS: 1.6 * FULL_PER_S, repeats: 0 }])
      expect(now('all').served >= 0.95 * before('all').served).to.equal(true)
    })
  })

  describe('the plan', () => {
    it('never admits less of a priority than of a less urgent one, at any load', () => {
      for (let run = 0; run < 500; run += 1) {
        const asked = [0, 1, 2, 3].map(priority => ({ priority, workMsPerS: random() < 0.2 ? 0 : random() * 1_000, accounts: NO_ACCOUNTS }))
        const shares = planAdmission({ asked, roomMsPerS: random() * 3_000 }).priorities.map(({ share }) => share)
        expect(shares).to.deep.equal([...shares].sort((first, second) => second - first))
      }
    })

    it('weights the shares of accounts by what they were promised', () => {
      const asked = [{ priority: 1, workMsPerS: 2_000, accounts: new Map([['large', 1_000], ['small', 1_000]] as Array<[AccountName, number]>) }]
      const plan = planAdmission({ asked, roomMsPerS: 1_000, weightOf: account => account === 'large' ? 3 : 1 })
      expect(Math.abs(admittedShare(plan, 1, 'large' as AccountName) - 0.75) < 1e-9).to.equal(true)
      expect(Math.abs(admittedShare(plan, 1, 'small' as AccountName) - 0.25) < 1e-9).to.equal(true)
    })

    it('admits an account that asks for the first time during the overload of others', () => {
      const asked = [{ priority: 1, workMsPerS: 2_000, accounts: new Map([['flood', 2_000]] as Array<[AccountName, number]>) }]
      expect(admittedShare(planAdmission({ asked, roomMsPerS: 1_000 }), 1, 'new' as AccountName)).to.equal(1)
    })

    it('counts targets by the mean speed, and cold ones by the rate that they bear', () => {
      const warm = { slots: 2, coldRequestsPerS: undefined, freeSlots: undefined }
      expect(measureRoom([warm, warm, { ...warm, coldRequestsPerS: 5 }], { workMs: 100, speed: 0.5 })).to.deep.equal({ roomMsPerS: 1_000 + 1_000 + 500, freeShare: 0 })
    })

    it('takes free slots from warm targets with fresh reports, and from three of them at least', () => {
      const target = { slots: 2, coldRequestsPerS: undefined, freeSlots: 1 }
      const freeShareOf = (targets: ReadonlyArray<Parameters<typeof measureRoom>[0][number]>): number => measureRoom(targets, { workMs: 100, speed: 1 }).freeShare
      expect(freeShareOf([target, { ...target, freeSlots: 2 }, { ...target, freeSlots: -3 }, { ...target, coldRequestsPerS: 5, freeSlots: 2 }])).to.equal(0.5)
      expect(freeShareOf([target, target])).to.equal(0)
    })
  })

  describe('one request', () => {
    const overloaded = planAdmission({ asked: [{ priority: 1, workMsPerS: 2_000, accounts: NO_ACCOUNTS }], roomMsPerS: 1_000 })
    const request = { priority: 1, account: undefined, deadlineInMs: 1_000, objectiveInMs: 300, objectiveMs: 300, workMs: 100, isFurtherAttempt: false }
    const decide = (changes: Partial<typeof request>, plan: typeof overloaded | undefined = overloaded, thinning = new Thinning(random)): ReturnType<typeof decideAdmission> =>
      decideAdmission({ request: { ...request, ...changes }, plan, slowdown: 1, thinning, backlog: new ExcessBacklog(), random })

    it('is refused at its arrival when no target could respond before its deadline', () => {
      expect(decide({ deadlineInMs: 40 })).to.deep.equal({ kind: 'turn-away', reason: 'deadline-unreachable' })
    })

    it('gives way when it can no longer be in time and others can', () => {
      expect(decide({ objectiveInMs: 50, isFurtherAttempt: true }).kind).to.equal('turn-away')
      expect(decide({ isFurtherAttempt: true }).kind).to.equal('admit')
    })

    it('is admitted while the sums of the other instances are old or missing', () => {
      const admitted = Array.from({ length: 100 }, () => decideAdmission({ request, plan: undefined, slowdown: 1, thinning: new Thinning(random), backlog: new ExcessBacklog(), random }).kind)
      expect(admitted.every(kind => kind === 'admit')).to.equal(true)
    })

    it('is admitted with the share also where each instance sees only one', () => {
      const admitted = Array.from({ length: 2_000 }, () => decide({})).filter(({ kind }) => kind === 'admit').length
      expect(Math.abs(admitted / 2_000 - 0.5) < 0.05).to.equal(true)
    })

    it('is decided within 10 microseconds', () => {
      clock.uninstall()
      const thinning = new Thinning(random)
      const batches = Array.from({ length: 20 }, () => {
        const startMs = performance.now()
        for (let index = 0; index < 2_000; index += 1) decide({ account: undefined }, overloaded, thinning)
        return (performance.now() - startMs) / 2
      })
      expect(Math.min(...batches) < 10).to.equal(true)
    })
  })

  describe('the time after which a caller returns', () => {
    const LATE = { share: 0.5, slackMs: 0 }
    const planOf = (askedMsPerS: number): ReturnType<typeof planAdmission> => planAdmission({ asked: [{ priority: 1, workMsPerS: askedMsPerS, accounts: NO_ACCOUNTS }], roomMsPerS: 1_000 })

    it('is when the room that is left in calm has worked off the excess', () => {
      const backlog = new ExcessBacklog()
      for (let atMs = 0; atMs <= 10_000; atMs += 200) backlog.update(planOf(600), atMs)
      for (let atMs = 10_200; atMs <= 12_000; atMs += 200) backlog.update(planOf(1_400), atMs)
      // 0.4 s of work a second for 2 s, at 0.4 of the room.
      expect(Math.abs(backlog.returnAfterMs(planOf(1_400), LATE, () => 0.5) - 2_000) <= 200).to.equal(true)
      for (let atMs = 12_200; atMs <= 14_000; atMs += 200) backlog.update(planOf(600), atMs)
      expect(backlog.returnAfterMs(planOf(1_101), LATE, () => 0.5) < 700).to.equal(true)
    })

    it('is early enough to be in time while a part of the requests is admitted', () => {
      const backlog = new ExcessBacklog()
      for (const chance of [0, 0.5, 0.99]) expect(backlog.returnAfterMs(planOf(1_400), { share: 0.5, slackMs: 200 }, () => chance) <= 160).to.equal(true)
      expect(backlog.returnAfterMs(planOf(1_400), { share: 0, slackMs: 200 }, () => 0.5) > 1_000).to.equal(true)
    })

    it('is spread, so that callers do not return at once', () => {
      const backlog = new ExcessBacklog()
      const times = new Set(Array.from({ length: 50 }, () => backlog.returnAfterMs(planOf(1_400), LATE, random)))
      expect(times.size > 40).to.equal(true)
    })
  })
})
