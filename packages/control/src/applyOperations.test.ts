import { expect } from 'chai'
import { operationsSchema, parseWith, type Configuration, type Operation } from '@carobpitch/schema'
import { applyOperations, hasSameEffect } from './applyOperations.js'
import { makeConfiguration } from './testing/configurations.js'
import { computeWithdrawals } from './withdrawals.js'

function apply (base: Configuration, ...operations: unknown[]): Configuration {
  return applyOperations(base, operationsSchema.parse(operations)).unwrapOrElse(violations => { throw new Error(JSON.stringify(violations)) })
}

function epochOf (configuration: Configuration, id: string): number | undefined {
  return (configuration.targets as Record<string, { broughtInRevision: number }>)[id]?.broughtInRevision
}

function violationsOf (base: Configuration, ...operations: unknown[]): string[] {
  const applied = applyOperations(base, operations as Operation[])
  return applied.isErr ? applied.error.map(({ path }) => path) : []
}

describe('applyOperations', () => {
  const base = makeConfiguration({ revision: 7 })

  it('leaves the base unchanged and raises the revision by one', () => {
    const before = structuredClone(base)
    expect(apply(base, { kind: 'take-domain-out', failureDomain: 'fukuoka' }).revision).to.equal(8)
    expect(base).to.deep.equal(before)
  })

  describe('cold starts', () => {
    it('gives the targets of a returned domain a new epoch, guarding against full load on cold targets', () => {
      const out = apply(base, { kind: 'take-domain-out', failureDomain: 'fukuoka' })
      const returned = apply(out, { kind: 'return-domain', failureDomain: 'fukuoka' })
      expect(epochOf(out, 'menzaiko-fukuoka-1')).to.equal(0)
      expect(epochOf(returned, 'menzaiko-fukuoka-1')).to.equal(9)
      expect(epochOf(returned, 'menzaiko-kumamoto-1')).to.equal(0)
    })

    it('keeps the epoch when the domain or target was in already, guarding against turning warm targets cold', () => {
      const changed = apply(base, { kind: 'return-domain', failureDomain: 'fukuoka' }, { kind: 'bring-targets-in', targets: ['chumon-fukuoka-1'] })
      expect(hasSameEffect(base, changed)).to.equal(true)
    })

    it('gives a target that is brought in while its domain is out a new epoch when the domain returns', () => {
      const out = apply(base, { kind: 'take-domain-out', failureDomain: 'fukuoka' }, { kind: 'take-targets-out', targets: ['chumon-fukuoka-1'] })
      const brought = apply(out, { kind: 'bring-targets-in', targets: ['chumon-fukuoka-1'] })
      expect(epochOf(brought, 'chumon-fukuoka-1')).to.equal(0)
      expect(epochOf(apply(brought, { kind: 'return-domain', failureDomain: 'fukuoka' }), 'chumon-fukuoka-1')).to.equal(10)
    })

    it('gives a new epoch to a target that gets a new address or moves out of a domain that is out', () => {
      const moved = apply(base, { kind: 'change-target', targetId: 'chumon-fukuoka-1', change: { url: 'http://127.0.0.1:1' } })
      expect(epochOf(moved, 'chumon-fukuoka-1')).to.equal(8)
      const out = apply(base, { kind: 'take-domain-out', failureDomain: 'fukuoka' })
      const elsewhere = apply(out, { kind: 'change-target', targetId: 'chumon-fukuoka-1', change: { failureDomain: 'kumamoto' } })
      expect(epochOf(elsewhere, 'chumon-fukuoka-1')).to.equal(9)
    })

    it('gives a new epoch to a target that is removed and added again, guarding against use of its old warm record', () => {
      const { broughtInRevision, ...target } = base.targets['chumon-fukuoka-1' as never] as { broughtInRevision: number }
      const removed = apply(base, { kind: 'remove-target', targetId: 'chumon-fukuoka-1' })
      expect(epochOf(apply(removed, { kind: 'add-target', targetId: 'chumon-fukuoka-1', target }), 'chumon-fukuoka-1')).to.equal(9)
      expect(broughtInRevision).to.equal(0)
    })
  })

  describe('invalid input', () => {
    it('reports all violations at once, each with its operation', () => {
      expect(violationsOf(base,
        { kind: 'take-domain-out', failureDomain: 'osaka' },
        { kind: 'bring-targets-in', targets: ['chumon-fukuoka-1', 'x', 'y'] },
        { kind: 'remove-service', service: 'chumon' },
        { kind: 'add-domain', failureDomain: 'fukuoka' },
        { kind: 'change-target', targetId: 'chumon-fukuoka-1', change: { service: 'none', failureDomain: 'none' } }
      )).to.deep.equal([
        'operations.0.failureDomain', 'operations.1.targets.1', 'operations.1.targets.2', 'operations.2.service',
        'operations.3.failureDomain', 'operations.4.change.service', 'operations.4.change.failureDomain'
      ])
    })

    it('does not treat names of inherited properties as existing entries', () => {
      expect(violationsOf(base, { kind: 'take-domain-out', failureDomain: 'constructor' })).to.have.length(1)
      expect(apply(base, { kind: 'add-service', service: 'constructor', configuration: {} }).services).to.have.property('constructor')
    })

    it('rejects unknown fields and does not fill defaults into a partial change', () => {
      expect(parseWith(operationsSchema, [{ kind: 'change-service', service: 'chumon', change: { queueMaximum: 1 } }]).isErr).to.equal(true)
      const changed = apply(apply(base, { kind: 'change-service', service: 'chumon', change: { queueMax: 5 } }), { kind: 'change-service', service: 'chumon', change: { probePath: '/p' } })
      expect(changed.services['chumon' as never]).to.include({ queueMax: 5, probePath: '/p' })
    })
  })

  describe('declarations', () => {
    function declarationOf ({ services, failureDomains, targets }: Configuration): Record<string, Record<string, Record<string, unknown>>> {
      const declared = Object.entries(targets).map(([id, { broughtInRevision, state, ...target }]) => [id, target])
      return structuredClone({ services, failureDomains: Object.fromEntries(Object.keys(failureDomains).map(id => [id, {}])), targets: Object.fromEntries(declared) })
    }

    it('keeps states that the file does not specify, guarding against an unintended return of a domain that is out', () => {
      const out = apply(base, { kind: 'take-domain-out', failureDomain: 'fukuoka' }, { kind: 'take-targets-out', targets: ['chumon-kumamoto-1'] })
      expect(hasSameEffect(out, apply(out, { kind: 'apply-declaration', declaration: declarationOf(base) }))).to.equal(true)
    })

    it('adds, changes and removes entries to match the file', () => {
      const declaration = declarationOf(base)
      delete declaration.targets?.['chumon-fukuoka-1']
      Object.assign(declaration.targets?.['chumon-fukuoka-2'] ?? {}, { slots: 6, state: 'out' })
      Object.assign(declaration.failureDomains ?? {}, { kagoshima: {} })
      const applied = apply(base, { kind: 'apply-declaration', declaration })
      expect(applied.targets).not.to.have.property('chumon-fukuoka-1')
      expect(applied.targets['chumon-fukuoka-2' as never]).to.include({ slots: 6, state: 'out', broughtInRevision: 0 })
      expect(applied.failureDomains).to.have.property('kagoshima')
      expect(computeWithdrawals(base, applied)).to.deep.equal({ failureDomains: [], targets: ['chumon-fukuoka-1', 'chumon-fukuoka-2'] })
    })

    it('rejects references to entries that the file does not declare', () => {
      const declaration = { ...declarationOf(base), failureDomains: { fukuoka: {} } }
      const parsed = parseWith(operationsSchema, [{ kind: 'apply-declaration', declaration }])
      expect(parsed.isErr && parsed.error.map(({ message }) => message)).to.include('unknown failure domain kumamoto')
    })
  })
})
