import { expect } from 'chai'
import type { FailureDomainId, InstanceId, MemberRecord } from '@carobpitch/schema'
import type { InstanceCapacity } from '../model/InstanceCapacity.js'
import { selectRelays, type Relays } from './selectRelays.js'

/** Followers of one reader for which the slowest path of a large configuration stays within its bound, see propagationBudget.test.ts. */
const FOLLOWERS_MAX = 32

describe('selectRelays', () => {
  function membersOf (failureDomains: number, instancesPerDomain: number): MemberRecord[] {
    return Array.from({ length: failureDomains * instancesPerDomain }, (_, index): MemberRecord => {
      const instanceId = `front-${index}` as InstanceId
      const url = `http://${instanceId}`
      return { instanceId, incarnation: 1, failureDomain: `zone-${index % failureDomains}` as FailureDomainId, callerUrl: url, peerUrl: url, state: 'serving', adoptedRevision: 0 }
    })
  }

  function relaysOfAll (members: readonly MemberRecord[]): Relays[] {
    return members.map(({ instanceId, failureDomain }) => selectRelays({ members, instanceId, failureDomain }))
  }

  for (const [failureDomains, instancesPerDomain, readers] of [[3, 5, 3], [4, 29, 4], [4, 159, 20]] as const) {
    describe(`in ${failureDomains} failure domains of ${instancesPerDomain} instances`, () => {
      const members = membersOf(failureDomains, instancesPerDomain)
      const all = relaysOfAll(members)

      it('guards against calls to the store that grow as fast as the fleet', () => {
        expect(all.filter(({ urls }) => urls.length === 0)).to.have.length(readers)
        expect(all.filter(({ isSubstitute }) => isSubstitute)).to.have.length(2 * failureDomains)
      })

      it('guards against more followers of one reader than its link can serve in time', () => {
        const followers = new Map<string, number>()
        for (const { urls: [first] } of all) if (first !== undefined) followers.set(first, (followers.get(first) ?? 0) + 1)
        expect(Math.max(...followers.values())).to.be.at.most(FOLLOWERS_MAX)
      })

      it('guards against a single point of failure: each follower knows other relays and other failure domains', () => {
        for (const { urls, distantUrls, isSubstitute } of all) {
          if (urls.length > 0 && !isSubstitute) expect(urls.length).to.equal(3)
          expect(new Set(distantUrls).size).to.equal(2)
        }
      })
    })
  }

  describe('among unequal instances', () => {
    const SLOW: InstanceCapacity = { linkMbps: 10, cores: 0.27 }
    const FAST: InstanceCapacity = { linkMbps: 200, cores: 1.35 }
    const FAST_IDS = ['front-5', 'front-17'] as InstanceId[]
    const members = membersOf(1, 29)
    const capacities = new Map(members.map(({ instanceId }) => [instanceId, FAST_IDS.includes(instanceId) ? FAST : SLOW]))
    const relaysOf = (instanceId: string, options: { capacities?: ReadonlyMap<InstanceId, InstanceCapacity> } = {}): Relays =>
      selectRelays({ members, capacities, instanceId: instanceId as InstanceId, failureDomain: 'zone-0' as FailureDomainId, ...options })

    it('guards against store readers with slow links: the fastest instances come first', () => {
      expect(relaysOf('front-0').urls.slice(0, 2)).to.have.members(FAST_IDS.map(id => `http://${id}`))
    })

    it('guards against a store reader whose processor is slower than its link', () => {
      const narrow = new Map(capacities).set('front-5' as InstanceId, { linkMbps: 1_000, cores: 0.05 })
      expect(relaysOf('front-0', { capacities: narrow }).urls[0]).to.equal('http://front-17')
    })

    it('selects members without a capacity, as of earlier versions, after those with one', () => {
      const known = new Map([['front-9' as InstanceId, SLOW]])
      expect(relaysOf('front-0', { capacities: known }).urls[0]).to.equal('http://front-9')
      expect(relaysOf('front-0', { capacities: new Map() }).urls).to.have.length(3)
    })
  })

  it('ignores members that do not serve', () => {
    const members = membersOf(1, 4).map((member, index): MemberRecord => ({ ...member, state: index < 3 ? 'leaving' : 'serving' }))
    expect(relaysOfAll(members).at(-1)).to.deep.equal({ urls: [], distantUrls: [], isSubstitute: false })
  })
})
