import { expect } from 'chai'
import type { AccountName, ServiceName } from '@carobpitch/schema'
import type { ClientAccount } from '../accounts/ClientAccount.js'
import { Dispatcher } from '../dispatch/Dispatcher.js'
import type { DispatchRequest } from '../dispatch/DispatchRequest.js'
import type { FleetCounters } from '../fleet/FleetCounters.js'
import type { Route, RoutingTable } from '../model/Route.js'

const SHARED = 'shared' as ServiceName
const ALONE = 'alone' as ServiceName
const ROUTE: Route = {
  name: 'usual',
  host: 'host',
  pathPrefix: '/',
  isIdempotent: true,
  shares: [{ service: SHARED, weight: 1 }],
  timeoutMs: undefined,
  objectiveMs: 300,
  attemptsMax: 2,
  priority: 1,
  isPublic: false
}
const ROUTES: Route[] = [ROUTE, { ...ROUTE, name: 'urgent', priority: 0 }, { ...ROUTE, name: 'other', shares: [{ service: ALONE, weight: 1 }] }]
const ACCOUNT: ClientAccount = { name: 'flood' as AccountName, keyDigests: [], priority: undefined, allowance: undefined }

/** A dispatcher with one target of two slots that no request reaches, and the sums of the fleet that a test sets. */
class Fixture {
  readonly added = new Map<string, number>()
  readonly logged: Array<{ event: string, fields: Record<string, unknown> }> = []
  readonly turnedAway: string[] = []
  rates: Record<string, number> = {}
  ageMs = 100
  readonly dispatcher: Dispatcher

  constructor (accounts: readonly ClientAccount[] | undefined) {
    const counters: FleetCounters = {
      add: (name, amount) => { this.added.set(name, (this.added.get(name) ?? 0) + amount) },
      total: name => this.added.get(name) ?? 0,
      ratePerS: name => this.rates[name] ?? 0,
      ageMs: () => this.ageMs,
      instanceCount: () => 1,
      onRefresh: () => () => {}
    }
    const target = { record: { slots: 2 }, failures: { isBackingOff: () => false }, restsForMs: () => 0, isCold: () => false, report: () => undefined, reportAgeMs: () => Infinity }
    const table = { version: 1, routes: ROUTES, accounts } as unknown as RoutingTable
    this.dispatcher = new Dispatcher({
      registry: { ofService: () => [target] },
      admission: {
        counters,
        routingTable: () => table,
        onTurnAway: ({ route }: DispatchRequest) => this.turnedAway.push(route),
        log: { info: (event: string, fields: Record<string, unknown>) => this.logged.push({ event, fields }) },
        random: () => 0.5
      }
    } as never)
    // Requests that are admitted end here.
    Object.assign(this.dispatcher, { dispatcherOf: () => ({ expectedWorkMs: () => 100, acquire: async () => 'admitted' }) })
  }

  async ask (service: ServiceName, { name: route, priority }: Route, account?: AccountName): Promise<unknown> {
    const nowMs = performance.now()
    const request: DispatchRequest = {
      service, route, priority, account, accepts: () => true, arrivedAtMs: nowMs, objectiveMs: 300, deadlineAtMs: nowMs + 1_000, exclude: new Set(), signal: new AbortController().signal
    }
    return await this.dispatcher.acquire(request)
  }
}

describe('admission before the queue of a service', () => {
  const [usual, urgent, other] = ROUTES as [Route, Route, Route]

  it('turns the low priority away at its arrival when all instances together are asked too much', async () => {
    const fixture = new Fixture(undefined)
    fixture.rates = { 'work/shared/0': 2_500, 'work/shared/1': 2_500 }
    expect(await fixture.ask(SHARED, { ...urgent, priority: 0 })).to.equal('admitted')
    expect(await fixture.ask(SHARED, usual)).not.to.equal('admitted')
    expect(fixture.turnedAway).to.deep.equal(['usual'])
    expect(fixture.logged).to.deep.equal([{ event: 'admission.changed', fields: { service: SHARED, from: 'open', to: 'priority 0: 0.8', askedSlots: 5, roomSlots: 2, speed: 1, ageMs: 100 } }])
  })

  it('turns nobody away by sums that are old', async () => {
    const fixture = new Fixture(undefined)
    fixture.rates = { 'work/shared/0': 2_500, 'work/shared/1': 2_500 }
    fixture.ageMs = 1_500
    expect(await fixture.ask(SHARED, usual)).to.equal('admitted')
  })

  it('counts the work of priorities and accounts', async () => {
    const fixture = new Fixture([ACCOUNT])
    await fixture.ask(SHARED, usual, ACCOUNT.name)
    expect(Object.fromEntries(fixture.added)).to.deep.equal({ 'requests/usual': 1, 'work/shared/1': 100, 'work/shared/1/flood': 100 })
  })

  it('takes the speed of the targets from the reports of all instances, not from the last one of a target', async () => {
    const fixture = new Fixture(undefined)
    fixture.rates = { 'work/shared/0': 500, 'work/shared/1': 1_500, 'reports/shared': 45, 'speeds/shared': 20 }
    await fixture.ask(SHARED, usual)
    expect(fixture.logged[0]?.fields).to.deep.equal({ service: SHARED, from: 'open', to: 'priority 1: 0.3', askedSlots: 2, roomSlots: 1, speed: 0.5, ageMs: 100 })
  })

  it('thins an account that floods the service, and no other one', async () => {
    const fixture = new Fixture([ACCOUNT, { ...ACCOUNT, name: 'small' as AccountName }])
    fixture.rates = { 'work/alone/1': 5_000, 'work/alone/1/flood': 4_800, 'work/alone/1/small': 200 }
    for (let index = 0; index < 10; index += 1) {
      await fixture.ask(ALONE, { ...other, name: 'flooding' }, ACCOUNT.name)
      await fixture.ask(ALONE, other, 'small' as AccountName)
    }
    expect(fixture.turnedAway.length >= 5).to.equal(true)
    expect(fixture.turnedAway.every(route => route === 'flooding')).to.equal(true)
  })

  it('counts a bounded number of groups where there are too many accounts', async () => {
    const accounts = Array.from({ length: 3_000 }, (_, index) => ({ ...ACCOUNT, name: `account-${index}` as AccountName }))
    const fixture = new Fixture(accounts)
    for (const { name } of accounts) await fixture.ask(SHARED, usual, name)
    const counted = [...fixture.added.keys()].filter(name => name.startsWith('work/shared/1/'))
    // Three counted pairs of service and priority share 1,024 counters.
    expect(counted.length > 300 && counted.length <= 341).to.equal(true)
  })

  it('counts and decides nothing for a service of one priority without accounts', async () => {
    const fixture = new Fixture(undefined)
    fixture.rates = { 'work/alone/1': 9_000 }
    expect(await fixture.ask(ALONE, other)).to.equal('admitted')
    expect(fixture.added.size).to.equal(0)
  })
})
