import { expect } from 'chai'
import { configurationSchema } from './Configuration.js'
import { ConfigurationHolder } from './ConfigurationHolder.js'
import { parseWith } from './parse.js'

const target = { service: 'orders', failureDomain: 'north', url: 'http://127.0.0.1:4001' }

function documentOf (revision: number, changes: object = {}): object {
  return { revision, services: { orders: {} }, failureDomains: { north: {} }, targets: { t1: target }, ...changes }
}

describe('configuration document', () => {
  describe('validation', () => {
    it('reports every violation with its path, guarding against a report of only the first one', () => {
      const parsed = parseWith(configurationSchema, documentOf(1, { targets: { t1: { ...target, slots: 0, url: 'http://example.org' } }, extra: true }))
      expect(parsed.isErr && parsed.error.map(({ path }) => path).sort()).to.deep.equal(['', 'targets.t1.slots', 'targets.t1.url'])
    })

    for (const name of ['unknown', 'constructor', 'toString']) {
      it(`rejects a reference to an undeclared service and domain named ${name}, guarding against a match of inherited properties`, () => {
        const parsed = parseWith(configurationSchema, documentOf(1, { targets: { t1: { ...target, service: name, failureDomain: name } } }))
        expect(parsed.isErr && parsed.error.map(({ path }) => path)).to.deep.equal(['targets.t1.service', 'targets.t1.failureDomain'])
      })
    }
  })

  describe('adoption', () => {
    let holder: ConfigurationHolder

    beforeEach(() => {
      holder = new ConfigurationHolder()
      holder.adopt(documentOf(5))
    })

    it('adopts a higher revision and notifies listeners synchronously', () => {
      const seen: number[] = []
      holder.onChange(({ revision }) => seen.push(revision))
      expect(holder.adopt(documentOf(7)).isOk).to.equal(true)
      expect(seen).to.deep.equal([7])
    })

    it('does not adopt the same or a lower revision, guarding against a stale read that reverts a change', () => {
      for (const revision of [5, 4, 0]) expect(holder.adopt(documentOf(revision)).isErr).to.equal(true)
      expect(holder.current().revision).to.equal(5)
    })

    it('does not adopt an invalid document with a higher revision', () => {
      expect(holder.adopt(documentOf(9, { targets: { t1: { ...target, service: 'unknown' } } })).isErr).to.equal(true)
      expect(holder.current().revision).to.equal(5)
    })
  })
})
