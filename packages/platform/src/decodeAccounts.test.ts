import { expect } from 'chai'
import { AccountIndex, digestOfKey, type KeyOwner, type RoutingTable } from '@carobpitch/gateway'
import { decodeConfiguration, validateConfiguration } from './decodeConfiguration.js'
import { wireConfiguration } from './testing/configurations.js'

/** Time within which 1,000 accounts are to be read; a slow machine takes about a tenth of it. */
const DECODE_MAX_MS = 200

function documentWith (tenants: unknown): string {
  return JSON.stringify({ ...JSON.parse(wireConfiguration()) as object, tenants })
}

function tableWith (tenants: unknown): RoutingTable {
  return decodeConfiguration(documentWith(tenants)).unwrapOrElse(violations => { throw new Error(JSON.stringify(violations)) })
}

function ownerOf (key: string, tenants: unknown): KeyOwner['kind'] | string {
  const { accounts = [], undecidableKeyDigests, hasUnreadableKeys } = tableWith(tenants)
  const owner = new AccountIndex({ accounts, undecidableKeyDigests, hasUnreadableKeys }).ownerOf(key)
  return owner.kind === 'account' ? owner.account.name : owner.kind
}

const GOOD = { 'api-keys': ['key-of-good'], priority: 1, 'rate-per-s': 164, burst: 20 }

describe('decodeAccounts', () => {
  it('reads keys, priority and allowance; a rate of 0 or none sets no limit', () => {
    const { accounts } = tableWith({ good: GOOD, free: { 'api-keys': ['a', 'b'], 'rate-per-s': 0, burst: 5 } })
    expect(accounts).to.deep.equal([
      { name: 'good', keyDigests: [digestOfKey('key-of-good')], priority: 1, allowance: { requestsPerS: 164, burstRequests: 20 } },
      { name: 'free', keyDigests: [digestOfKey('a'), digestOfKey('b')], priority: undefined, allowance: undefined }
    ])
  })

  it('guards against keys demanded in a deployment without accounts, and against an open door after the last account is removed', () => {
    expect(decodeConfiguration(wireConfiguration()).map(({ accounts }) => accounts).unwrapOr([])).to.equal(undefined)
    expect(tableWith({}).accounts).to.deep.equal([])
  })

  describe('of an odd account', () => {
    for (const [name, odd] of Object.entries({
      'a priority as text': { 'api-keys': ['odd-key'], priority: 'high' },
      'a negative rate': { 'api-keys': ['odd-key'], 'rate-per-s': -1 },
      'an endless burst': { 'api-keys': ['odd-key'], 'rate-per-s': 1, burst: 1e300 }
    })) {
      it(`guards against 401, an endless allowance or a loss of others by ${name}`, () => {
        const tenants = { odd, good: GOOD }
        expect([ownerOf('odd-key', tenants), ownerOf('key-of-good', tenants), ownerOf('other', tenants)]).to.deep.equal(['undecidable', 'good', 'unknown'])
        expect(tableWith(tenants).faults).to.have.length(1)
      })
    }

    for (const [name, odd] of Object.entries({
      'a text for the list of keys': { 'api-keys': 'odd-key' },
      'null for an account': null,
      'a list for an account': ['odd-key']
    })) {
      it(`guards against 401 for keys that cannot be read (${name}): all unknown keys are undecidable`, () => {
        const tenants = { odd, good: GOOD }
        expect([ownerOf('odd-key', tenants), ownerOf('key-of-good', tenants)]).to.deep.equal(['undecidable', 'good'])
      })
    }

    it('guards against one odd key that costs the other keys of its account', () => {
      const tenants = { odd: { 'api-keys': ['fine', 7, 'with a space'] } }
      expect([ownerOf('fine', tenants), ownerOf('7', tenants)]).to.deep.equal(['odd', 'undecidable'])
    })

    it('guards against accounts without keys that make unknown keys undecidable', () => {
      for (const odd of [{}, { 'api-keys': [] }]) expect(ownerOf('other', { odd, good: GOOD })).to.equal('unknown')
    })

    it('guards against the rights of another account: a key that two hold names neither, a key held twice its holder', () => {
      const shared = { first: { 'api-keys': ['shared', 'own', 'own'] }, second: { 'api-keys': ['shared'] }, odd: { 'api-keys': ['key-of-good'], burst: 'x' }, good: GOOD }
      expect(['shared', 'own', 'key-of-good'].map(key => ownerOf(key, shared))).to.deep.equal(['undecidable', 'first', 'undecidable'])
      expect(tableWith(shared).faults.map(({ path }) => path)).to.deep.equal(['tenants.first.api-keys', 'tenants.odd.burst', 'tenants.second.api-keys'])
    })

    it('guards against a key that is sent to targets or logged as the name of an account', () => {
      const tenants = { 'secret-1': { 'api-keys': ['cuka620'] }, 'se cret-2': GOOD, good: { 'api-keys': ['secret-1'] } }
      const { accounts, faults } = tableWith(tenants)
      expect(accounts?.map(({ name }) => name)).to.deep.equal(['good'])
      expect(faults.map(({ path }) => path)).to.deep.equal(['tenants[0]', 'tenants[1]'])
      expect([ownerOf('cuka620', tenants), ownerOf('key-of-good', tenants)]).to.deep.equal(['undecidable', 'undecidable'])
    })

    it('guards against keys in faults and errors, whatever is wrong', () => {
      const secret = 'thhkmgjqnirth5mgjy5r'
      const odd = [secret, [secret], { [secret]: { 'api-keys': [secret] } }, { [`${secret} `]: { 'api-keys': [secret], priority: secret } }, { a: secret }, { a: { 'api-keys': secret, burst: secret } }, { a: { 'api-keys': [{ [secret]: secret }] } }]
      const texts = [...odd.map(documentWith), `{"tenants":{"a":{"api-keys":["${secret}"`, `{"version":7,"tenants":"${secret}"}`]
      for (const text of texts) {
        const violations = validateConfiguration(text)
        expect(violations, text).not.to.have.length(0)
        expect(JSON.stringify(violations)).not.to.contain(secret)
      }
    })
  })

  it('guards against a change of the configuration that stalls requests while 1,000 accounts are read', () => {
    const text = documentWith(Object.fromEntries(Array.from({ length: 1_000 }, (_, index) => [`account-${index}`, { ...GOOD, 'api-keys': [`first-${index}`, `second-${index}`] }])))
    const startedAtMs = performance.now()
    const { accounts = [], undecidableKeyDigests, hasUnreadableKeys } = decodeConfiguration(text).unwrapOrElse(() => { throw new Error('unreadable') })
    const index = new AccountIndex({ accounts, undecidableKeyDigests, hasUnreadableKeys })
    expect(performance.now() - startedAtMs).to.be.below(DECODE_MAX_MS)
    expect(index.ownerOf('second-999')).to.deep.include({ kind: 'account' })
  })
})
