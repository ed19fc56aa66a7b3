import { expect } from 'chai'
import fc from 'fast-check'
import { REQUEST_CLASSES, type RequestClass, type TenantId } from '@carobpitch/schema'
import { AdmissionQueue, type WaitingRequest } from './AdmissionQueue.js'
import { PROPERTY_SEED } from './testFixtures.js'

const arrivals = fc.array(fc.record({ requestClass: fc.constantFrom(...REQUEST_CLASSES), tenant: fc.constantFrom('a', 'b', 'c', 'd') }), { maxLength: 60 })

class Harness {
  readonly queue = new AdmissionQueue()
  private last: WaitingRequest | undefined

  add (requestClass: RequestClass, tenant: string, canRun = () => true): WaitingRequest {
    const waiting = { requestClass, tenant: tenant as TenantId, deadlineAtMs: 0, canRun }
    this.queue.enqueue(async () => { this.last = waiting }, { waiting })
    return waiting
  }

  next (): WaitingRequest | undefined {
    this.last = undefined
    this.queue.dequeue()?.()
    return this.last
  }
}

describe('AdmissionQueue', () => {
  it('never runs a less urgent class before a more urgent one that waits, guarding against bookings behind ledgers', () => {
    fc.assert(fc.property(arrivals, requests => {
      const harness = new Harness()
      for (const { requestClass, tenant } of requests) harness.add(requestClass, tenant)
      const order = requests.map(() => REQUEST_CLASSES.indexOf(harness.next()?.requestClass ?? 'ledger'))
      expect(order).to.deep.equal([...order].sort())
    }), { seed: PROPERTY_SEED })
  })

  it('serves tenants of a class in turn, guarding against a tenant that waits behind the whole queue of another', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 50 }), fc.integer({ min: 1, max: 5 }), (noisy, quiet) => {
      const harness = new Harness()
      for (let count = 0; count < noisy; count += 1) harness.add('stock', 'noisy')
      for (let count = 0; count < quiet; count += 1) harness.add('stock', 'quiet')
      const order = Array.from({ length: noisy + quiet }, () => String(harness.next()?.tenant))
      for (let count = 0; count < quiet; count += 1) expect(order.slice(0, 2 * (count + 1)).filter(tenant => tenant === 'quiet').length).to.be.at.least(Math.min(count + 1, quiet))
    }), { seed: PROPERTY_SEED })
  })

  it('keeps the order of arrival within a tenant and serves all, guarding against lost requests', () => {
    fc.assert(fc.property(arrivals, requests => {
      const harness = new Harness()
      const added = requests.map(({ requestClass, tenant }) => harness.add(requestClass, tenant))
      const served: WaitingRequest[] = []
      while (harness.queue.size > 0) served.push(harness.next() as WaitingRequest)
      expect(served).to.have.members(added)
      for (const requestClass of REQUEST_CLASSES) {
        for (const tenant of ['a', 'b', 'c', 'd']) {
          const isOne = (waiting: WaitingRequest) => waiting.requestClass === requestClass && waiting.tenant === tenant
          expect(served.filter(isOne)).to.deep.equal(added.filter(isOne))
        }
      }
    }), { seed: PROPERTY_SEED })
  })

  it('predicts how many run before a new request, guarding against refusals from a wrong estimate', () => {
    fc.assert(fc.property(arrivals, fc.constantFrom(...REQUEST_CLASSES), fc.constantFrom('a', 'z'), (requests, requestClass, tenant) => {
      const harness = new Harness()
      for (const request of requests) harness.add(request.requestClass, request.tenant)
      const ahead = harness.queue.aheadOf(requestClass, tenant as TenantId)
      const newRequest = harness.add(requestClass, tenant)
      let served = 0
      while (harness.next() !== newRequest) served += 1
      expect(served).to.be.at.most(ahead)
      // Another tenant's last request may run after the new one, which the estimate does not consider.
      expect(ahead - served).to.be.at.most(4)
    }), { seed: PROPERTY_SEED })
  })

  it('skips requests that cannot run and reports size 0 when none can, guarding against head-of-line blocking', () => {
    const harness = new Harness()
    harness.add('booking', 'a', () => false)
    expect(harness.queue.size).to.equal(0)
    expect(harness.queue.waitingCount()).to.equal(1)
    const runnable = harness.add('ledger', 'b')
    expect(harness.next()).to.equal(runnable)
    expect(harness.next()).to.equal(undefined)
  })

  it('removes a waiting request once, guarding against cancelled requests that still run', () => {
    const harness = new Harness()
    const first = harness.add('stock', 'a')
    const second = harness.add('stock', 'a')
    expect(harness.queue.removeWaiting(first)).to.equal(true)
    expect(harness.queue.removeWaiting(first)).to.equal(false)
    expect(harness.next()).to.equal(second)
    expect(harness.queue.size).to.equal(0)
  })
})
