import { expect } from 'chai'
import type { ServiceName } from '@carobpitch/schema'
import type { Route } from './Route.js'
import { RouteIndex } from './RouteIndex.js'
import { WeightedRoundRobin } from './WeightedRoundRobin.js'

function route (fields: Partial<Route>): Route {
  return {
    name: 'r',
    host: 'shop.example',
    pathPrefix: '/',
    isIdempotent: true,
    shares: [{ service: 'menzaiko' as ServiceName, weight: 1 }],
    timeoutMs: 1_000,
    objectiveMs: 600,
    attemptsMax: 2,
    priority: 1,
    isPublic: false,
    ...fields
  }
}

describe('RouteIndex', () => {
  const index = new RouteIndex([
    route({ name: 'short', pathPrefix: '/stock/' }),
    route({ name: 'long', pathPrefix: '/stock/prices/' }),
    route({ name: 'other', host: 'other.example', pathPrefix: '/' })
  ])

  it('matches the longest prefix of the host', () => {
    expect(index.find('shop.example', '/stock/prices/7')?.name).to.equal('long')
    expect(index.find('shop.example', '/stock/prices')?.name).to.equal('short')
    expect(index.find('other.example', '/stock/prices/7')?.name).to.equal('other')
  })

  it('ignores case and port of the host, and the query', () => {
    expect(index.find('Shop.Example:8080', '/stock/?path=/stock/prices/')?.name).to.equal('short')
  })

  it('guards against a prefix that ends within a path segment', () => {
    expect(index.find('shop.example', '/stockroom/7')).to.equal(undefined)
    expect(index.find('unknown.example', '/stock/7')).to.equal(undefined)
  })
})

describe('WeightedRoundRobin', () => {
  const split = route({ shares: [{ service: 'a' as ServiceName, weight: 90 }, { service: 'b' as ServiceName, weight: 10 }] })

  it('keeps each share within one request of its weight', () => {
    const chooser = new WeightedRoundRobin()
    let toSecond = 0
    for (let sent = 1; sent <= 500; sent += 1) {
      if (chooser.choose(split) === 'b') toSecond += 1
      expect(Math.abs(toSecond - sent / 10)).to.be.at.most(1)
    }
  })

  it('guards against many instances that all begin with the same service', () => {
    let toSecond = 0
    for (let instance = 0; instance < 1_000; instance += 1) {
      if (new WeightedRoundRobin().choose(split) === 'b') toSecond += 1
    }
    expect(toSecond).to.be.within(50, 200)
  })

  it('guards against requests for a share without weight', () => {
    const chooser = new WeightedRoundRobin()
    const drained = route({ shares: [{ service: 'a' as ServiceName, weight: 1 }, { service: 'b' as ServiceName, weight: 0 }] })
    for (let sent = 0; sent < 50; sent += 1) expect(chooser.choose(drained)).to.equal('a')
  })
})
