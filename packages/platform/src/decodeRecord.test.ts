import { expect } from 'chai'
import type { DeploymentRecord, RoutingTable, TargetRecord } from '@carobpitch/gateway'
import { validateConfiguration } from './decodeConfiguration.js'
import { decodeRecord } from './decodeRecord.js'
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
        version: 'v1',
        isDraining: false,
        coldForMs: 1_500,
        bornAtEpochMs: 1_789_000_000_000
      })
      expect(target({ ...ENTRY, state: 'draining' })?.isDraining).to.equal(true)
    })

    for (const [name, fields] of Object.entries({
      'a missing address': { address: undefined },
      'a host name for an address': { address: 'localhost:80' },
      'port 0': { address: '10.128.0.9:0' },
      'a port above 65535': { address: '10.128.0.9:99999' },
      'a port with a sign': { address: '10.128.0.9:+80' },
      'an octet above 255': { address: '10.128.0.256:80' },
      'a number of hundreds of digits for a time': { 'warmup-left': `${'9'.repeat(400)}ms` },
      'more slots than any target has': { slots: 2 ** 50 },
      'a start time beyond the integers': { born: 1e300 },
      'a list for a service': { service: ['menzaiko'] },
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
      const nested = `${'['.repeat(200_000)}${']'.repeat(200_000)}`
      for (const value of ['', '\u0000\ufffd', '[]', 'null', '{"service":', nested, `{"service":${nested}}`]) expect(decoded('servers/i-1', value)).to.be.a('string')
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

    it('treats uploads as requests that may run at most once', () => {
      const routing = table(wireConfiguration({ routes: { upload: wireRoute({ 'route-type': 'upload' }) } }))
      expect(routing?.routes[0]).to.deep.include({ isIdempotent: false, shares: [{ service: 'menzaiko', weight: 1 }] })
      expect(routing?.faults).to.deep.equal([])
    })

    it('guards against a document without a readable version or tables: the error names the field', () => {
      const document = JSON.parse(wireConfiguration()) as Record<string, unknown>
      for (const [field, value] of [['version', '7'], ['version', 1e300], ['routes', []], ['services', null]] as const) {
        expect(decoded('op/config', JSON.stringify({ ...document, [field]: value }))).to.match(new RegExp(field))
      }
      expect(decoded('op/config', 'cut sho')).to.match(/not valid JSON/)
    })

    describe('with a part that cannot be read', () => {
      const faultsOf = (document: string): string[] | undefined => table(document)?.faults.map(({ path }) => path)
      /** Replaces fields of the route `odd` and keeps the route `stock`. */
      const withOddRoute = (fields: Record<string, unknown>): string => {
        const document = JSON.parse(wireConfiguration({ routes: { stock: wireRoute(), odd: wireRoute({ prefix: '/odd/' }) } })) as { routes: Record<string, object> }
        document.routes.odd = { ...document.routes.odd, ...fields }
        return JSON.stringify(document)
      }

      for (const [name, fields, path] of [
        ['a number for a time', { timeout: 12 }, 'timeout'],
        ['a time of hundreds of digits', { timeout: `${'9'.repeat(400)}s` }, 'timeout'],
        ['no attempts', { 'max-attempts': 0 }, 'max-attempts'],
        ['a service that is no name', { service: '../etc' }, 'service'],
        ['an endless weight', { service: undefined, 'traffic-split': [{ service: 'menzaiko', weight: 1e308 }] }, 'traffic-split.0.weight']
      ] as const) {
        it(`guards against a route with ${name} that takes all others out of service: its requests are refused`, () => {
          const routing = table(withOddRoute(fields))
          expect(routing?.routes.map(route => [route.name, route.shares.length])).to.deep.equal([['stock', 1], ['odd', 0]])
          expect(routing).to.include({ hasUnmatchableRoutes: false })
          expect(routing?.faults.map(fault => fault.path)).to.deep.equal([`routes.odd.${path}`])
        })
      }

      it('guards against a route to no service that ends the process when it is used', () => {
        for (const fields of [{ service: undefined }, { service: undefined, 'traffic-split': [] }, { service: undefined, 'traffic-split': [{ service: 'menzaiko', weight: 0 }] }]) {
          expect(table(withOddRoute(fields))?.routes[1]?.shares).to.deep.equal([])
        }
      })

      it('guards against 404 for a route whose requests cannot be told: the table says that such routes exist', () => {
        for (const fields of [{ prefix: 'odd' }, { prefix: undefined }, { host: 7 }]) {
          const routing = table(withOddRoute(fields))
          expect(routing).to.include({ hasUnmatchableRoutes: true })
          expect(routing?.routes.map(({ name }) => name)).to.deep.equal(['stock'])
        }
      })

      it('guards against a second run of requests of an unknown type', () => {
        const document = withOddRoute({ 'route-type': 'constructor' })
        expect(table(document)?.routes[1]).to.deep.include({ isIdempotent: false, shares: [{ service: 'menzaiko', weight: 1 }] })
        expect(faultsOf(document)).to.deep.equal(['routes.odd.route-type'])
      })

      it('guards against a service that takes the others out of service', () => {
        const document = JSON.parse(wireConfiguration({ services: ['menzaiko', 'chumon'] })) as { services: Record<string, object> }
        Object.assign(document.services, { chumon: { 'health-path': 'healthz' }, 'no name': {} })
        expect([...table(JSON.stringify(document))?.services.keys() ?? []]).to.deep.equal(['menzaiko'])
        expect(faultsOf(JSON.stringify(document))).to.include.members(['services.chumon.health-path', 'services.no name'])
      })

      it('guards against limits that take all routes out of service: defaults apply', () => {
        const document = JSON.stringify({ ...JSON.parse(wireConfiguration()) as object, limits: { 'max-body-bytes': -1 } })
        expect(table(document)?.callerLimits.bodySizeMaxBytes).to.be.greaterThan(0)
        expect(faultsOf(document)).to.include('limits.max-body-bytes')
      })
    })
  })

  it('decodes capacities, and rejects invalid ones', () => {
    expect(decoded('carobpitch/capacities/front-1', '{"linkMbps":10,"cores":0.27,"later":1}')).to.deep.equal({ kind: 'capacity', instanceId: 'front-1', capacity: { linkMbps: 10, cores: 0.27 } })
    expect(decoded('carobpitch/capacities/front-1', '{"linkMbps":0,"cores":1}')).to.match(/linkMbps/)
    expect(decoded('carobpitch/capacities/', '{"linkMbps":10,"cores":1}')).to.match(/instance id/)
  })

  it('guards against a member whose addresses are not URLs', () => {
    const member = { instanceId: 'front-1', incarnation: 1, failureDomain: 'fukuoka', callerUrl: 'http://10.0.0.1:80', peerUrl: 'http://10.0.0.1:81', state: 'serving', adoptedRevision: 1 }
    expect(decoded('carobpitch/members/front-1', JSON.stringify(member))).to.deep.equal({ kind: 'member', member })
    for (const fields of [{ callerUrl: 'http://10.0.0.1:99999' }, { peerUrl: 'nowhere' }]) {
      expect(decoded('carobpitch/members/front-1', JSON.stringify({ ...member, ...fields }))).to.match(/must be a URL/)
    }
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
