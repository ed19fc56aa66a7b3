import { expect } from 'chai'
import fc from 'fast-check'
import type { InstanceId, MemberRecord, ServiceName } from '@carobpitch/schema'
import { addressList } from './addressList.js'
import { steer } from './steer.js'
import { createMembers, PROPERTY_SEED, SERVICE } from './testFixtures.js'

const sizes = fc.record({ members: fc.integer({ min: 1, max: 40 }), domains: fc.integer({ min: 1, max: 4 }), services: fc.integer({ min: 1, max: 46 }) })

function createServices (count: number): Record<string, { steeredInstances: number }> {
  return Object.fromEntries(Array.from({ length: count }, (_, index) => [`s${index}`, { steeredInstances: 3 }]))
}

function placements (steered: Map<ServiceName, InstanceId[]>): Set<string> {
  return new Set([...steered].flatMap(([service, ids]) => ids.map(id => `${service} ${id}`)))
}

function shuffle<Item> (items: readonly Item[]): Item[] {
  return [...items].sort((first, second) => JSON.stringify(first).length - JSON.stringify(second).length).reverse()
}

describe('steer', () => {
  it('gives every service its number of distinct instances, guarding against a service without any', () => {
    fc.assert(fc.property(sizes, ({ members, domains, services }) => {
      for (const ids of steer({ members: createMembers(members, domains), services: createServices(services) }).values()) {
        expect(ids.length).to.equal(Math.min(3, members))
        expect(new Set(ids).size).to.equal(ids.length)
      }
    }), { seed: PROPERTY_SEED })
  })

  it('spreads a service over two failure domains, guarding against its loss with one domain', () => {
    fc.assert(fc.property(sizes, ({ members, domains, services }) => {
      const records = createMembers(members, domains)
      const domainOf = new Map(records.map(record => [record.instanceId, record.failureDomain]))
      const present = new Set(domainOf.values()).size
      for (const ids of steer({ members: records, services: createServices(services) }).values()) {
        expect(new Set(ids.map(id => domainOf.get(id))).size).to.be.at.least(Math.min(2, present))
      }
    }), { seed: PROPERTY_SEED })
  })

  it('bounds the load of an instance, guarding against one that most callers are sent to', () => {
    fc.assert(fc.property(fc.integer({ min: 6, max: 40 }), fc.integer({ min: 10, max: 46 }), (members, services) => {
      const loads = new Map<InstanceId, number>()
      for (const ids of steer({ members: createMembers(members), services: createServices(services) }).values()) {
        for (const id of ids) loads.set(id, (loads.get(id) ?? 0) + 1)
      }
      // One more than the bound, because the domain spread can send the last choice of a service past it.
      expect(Math.max(...loads.values())).to.be.at.most(Math.ceil(services * 3 / members * 1.25) + 1)
    }), { seed: PROPERTY_SEED })
  })

  it('does not depend on the order of its input, guarding against instances that disagree', () => {
    const members = createMembers(17)
    const services = createServices(12)
    const reversed = Object.fromEntries(Object.entries(services).reverse())
    expect(placements(steer({ members: shuffle(members), services: reversed }))).to.deep.equal(placements(steer({ members, services })))
  })

  it('moves few callers when a member joins or leaves, guarding against a reshuffle at each restart', () => {
    for (const count of [15, 30, 60]) {
      const members = createMembers(count)
      const services = createServices(46)
      const before = placements(steer({ members, services }))
      let moved = 0
      for (const leaver of members) {
        const after = placements(steer({ members: members.filter(member => member !== leaver), services }))
        moved += [...before].filter(placement => !after.has(placement)).length
      }
      // The placements of the leaving member move in any case; twice as many on average are allowed for displacement.
      expect(moved / count).to.be.at.most(2 * before.size / count + 1)
    }
  })

  it('leaves out members that are leaving, guarding against callers sent to an instance that stops', () => {
    const members = createMembers(5).map((member, index): MemberRecord => index < 2 ? { ...member, state: 'leaving' } : member)
    expect(steer({ members, services: createServices(1) }).get('s0' as ServiceName)).to.have.members(['i3', 'i4', 'i5'])
  })
})

describe('addressList', () => {
  const members = createMembers(6)
  const steered = ['i2', 'i4', 'i5'] as InstanceId[]

  it('rotates the steered instances and appends two alternatives, guarding against all callers using one first', () => {
    const lists = [0, 1, 2, 3].map(rotation => addressList({ service: SERVICE, members, steered, rotation }).map(({ instanceId }) => instanceId))
    expect(lists.map(list => list[0])).to.deep.equal(['i2', 'i4', 'i5', 'i2'])
    for (const list of lists) {
      expect(list.slice(0, 3)).to.have.members(steered)
      expect(new Set(list).size).to.equal(5)
    }
  })

  it('lists an alternative in a domain without steered instances, guarding against a list that fails with its domains', () => {
    for (const service of ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'] as ServiceName[]) {
      const list = addressList({ service, members, steered: ['i1', 'i2', 'i4'] as InstanceId[], rotation: 0 })
      expect(list[3]?.failureDomain).to.equal('d3')
    }
  })

  it('lists all serving members when steering is off', () => {
    expect(addressList({ service: SERVICE, members, steered: undefined, rotation: 7 })).to.have.length(6)
  })
})
