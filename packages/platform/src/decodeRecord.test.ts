import { expect } from 'chai'
import type { DeploymentRecord, RoutingTable, TargetRecord } from '@carobpitch/gateway'
import { validateConfiguration, decodeRecord } from './decodeRecord.js'
import { wireConfiguration, wireRoute } from './testing/configurations.js'

const ENTRY = { service: 'menzaiko', address: '10.128.0.9:8080', zone: 'fukuoka', version: 'v1', slots: 3, state: 'ready', 'warmup-left': '1500ms', sequence: 4, born: 1_789_000_000_000 }

function decoded (key: string, value: string): DeploymentRecord | string {
  return decodeRecord(key, value).match<DeploymentRecord | string>({ Ok: record => record, Err: error => error })
}

function target (entry: unknown): TargetRecord | undefined {
  const record = decoded('servers/i-7f3a91c2', JSON.stringify(entry))
  return typeof record !== 'string' && record.kind === 'target' ? record.target : undefined
}

function table (document: string): RoutingTable | undefined {
  const record = decoded('op/config', document)
  return typeof record !== 'string' && record.kind === 'configuration' ? record.table : undefined
}

describe('decodeRecord', () => {
  describe('of targets', () => {
    it('reads an entry', () => {
      expect(target(ENTRY)).to.deep.equal({
        targetId: 'i-7f3a91c2',
        service: 'menzaiko',
        host: '10.128.0.9',
        port: 8080,
        failureDomain: 'fukuoka',
        slots: 3,
        isDraining: false,
        coldForMs: 1_500,
        bornAtEpochMs: 1_789_000_000_000
      })
      expect(target({ ...ENTRY, state: 'draining' })?.isDraining).to.equal(true)
    })

    for (const [name, fields] of Object.entries({
      'a missing address': { address: undefined },
      'a host name for an address': { address: 'localhost:80' },
      'an unknown state': { state: 'resting' },
      'slots as text': { slots: '3' },
      'no slots': { slots: 0 },
      'an empty zone': { zone: '' },
      'a time without a unit': { 'warmup-left': '12' },
      'a start time that is not an integer': { born: 1.5 }
    })) {
      it(`guards against a forged entry with ${name}: the entry is rejected`, () => {
        expect(target({ ...ENTRY, ...fields })).to.equal(undefined)
      })
    }

    it('guards against values that are not entries', () => {
      for (const value of ['', '\u0000\ufffd', '[]', 'null', '{"service":']) expect(decoded('servers/i-1', value)).to.be.a('string')
    })
  })

  describe('of configurations', () => {
    it('reads kinds, times, attempts, priorities, shares and limits', () => {
      const document = wireConfiguration({
        version: 9,
        routes: {
          book: wireRoute({ prefix: '/book/', 'route-type': 'unsafe', service: undefined, 'traffic-split': [{ service: 'chumon', weight: 90 }, { service: 'menzaiko', weight: 10 }], 'max-attempts': 3 }),
          slow: wireRoute({ prefix: '/slow/', timeout: undefined, 'target-latency': '1.5s' })
        },
        services: ['chumon', 'menzaiko']
      })
      const routing = table(document)
      expect(routing?.version).to.equal(9)
      expect(routing?.routes[0]).to.deep.include({ isIdempotent: false, timeoutMs: 1_200, objectiveMs: 600, attemptsMax: 3, shares: [{ service: 'chumon', weight: 90 }, { service: 'menzaiko', weight: 10 }] })
      expect(routing?.routes[1]).to.deep.include({ isIdempotent: true, timeoutMs: undefined, objectiveMs: 1_500 })
      expect(routing?.callerLimits.idleTimeoutMs).to.equal(15_000)
    })

    it('guards against an invalid document: the error names the field', () => {
      expect(decoded('op/config', wireConfiguration({ routes: { stock: wireRoute({ prefix: 'stock' }) } }))).to.match(/routes\.stock\.prefix/)
      expect(decoded('op/config', 'cut sho')).to.match(/not valid JSON/)
    })
  })

  it('decodes capacities, and rejects invalid ones', () => {
    expect(decoded('carobpitch/capacities/front-1', '{"linkMbps":10,"cores":0.27,"later":1}')).to.deep.equal({ kind: 'capacity', instanceId: 'front-1', capacity: { linkMbps: 10, cores: 0.27 } })
    expect(decoded('carobpitch/capacities/front-1', '{"linkMbps":0,"cores":1}')).to.match(/linkMbps/)
    expect(decoded('carobpitch/capacities/', '{"linkMbps":10,"cores":1}')).to.match(/instance id/)
  })

  it('decodes evacuations and marks unrelated keys as foreign', () => {
    expect(decoded('op/evacuate/fukuoka', '')).to.deep.equal({ kind: 'evacuation', failureDomain: 'fukuoka' })
    expect(decoded('status/x', 'anything')).to.deep.equal({ kind: 'foreign' })
  })
})

describe('validateConfiguration', () => {
  it('accepts a valid configuration', () => {
    expect(validateConfiguration(wireConfiguration())).to.deep.equal([])
  })

  it('returns every invalid field', () => {
    const paths = validateConfiguration(wireConfiguration({ routes: { stock: wireRoute({ prefix: 'stock', 'max-attempts': 0 }) } })).map(({ path }) => path)
    expect(paths).to.include.members(['routes.stock.prefix', 'routes.stock.max-attempts'])
  })

  it('guards against routes without a known service or with no weight', () => {
    const routes = {
      unknown: wireRoute({ service: 'nowhere' }),
      idle: wireRoute({ service: undefined as never, 'traffic-split': [{ service: 'menzaiko', weight: 0 }] })
    }
    const messages = validateConfiguration(wireConfiguration({ routes })).map(({ path, message }) => `${path} ${message}`)
    expect(messages).to.deep.equal(['routes.unknown names the unknown service nowhere', 'routes.idle sends its requests to no service'])
  })
})
