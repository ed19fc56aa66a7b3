import { expect } from 'chai'
import { readSettings } from './readSettings.js'

const LINES = [
  'node-name=front-fukuoka-1', 'zone=fukuoka', 'ip=10.1.0.34', 'listen.front=10.1.0.34:8548', 'listen.ready=10.1.0.34:8542',
  'listen.control=10.1.0.34:8544', 'listen.directory=10.1.0.34:8546', 'seeds=10.1.0.34:8544,10.2.0.34:8544',
  'bounds.grace-period=6s', 'bounds.ttl_max=5s', 'bounds.probes-per-s=60', 'bounds.retry-budget-ratio=0.2',
  'bounds.retry-budget-slack=56', 'bounds.budget-window=10s', 'platform.address=10.200.1.7:8541', 'platform.ttl-min=1000ms'
]

describe('readSettings', () => {
  it('reads addresses, times and bounds, and ignores unknown names', () => {
    const settings = readSettings([...LINES, 'data-dir=', 'unknown.name=1'].join('\n')).unwrapOr(undefined)
    expect(settings).to.deep.include({
      instanceId: 'front-fukuoka-1',
      callerListen: { host: '10.1.0.34', port: 8548 },
      seedPeerUrls: ['http://10.1.0.34:8544', 'http://10.2.0.34:8544'],
      storeUrl: 'http://10.200.1.7:8541',
      stopGraceMs: 6_000,
      leaseMinMs: 1_000,
      retryLimits: { share: 0.2, slack: 56, windowMs: 10_000 }
    })
  })

  it('accepts an empty list of seeds', () => {
    const lines = LINES.map(line => line.startsWith('seeds=') ? 'seeds=' : line)
    expect(readSettings(lines.join('\n')).unwrapOr(undefined)?.seedPeerUrls).to.deep.equal([])
  })

  describe('the bounds of propagation', () => {
    const boundsOf = (lines: readonly string[]): unknown => readSettings([...LINES, ...lines].join('\n')).match<unknown>({ Ok: ({ propagationBounds }) => propagationBounds, Err: error => error.map(({ path }) => path) })

    it('are those of the settings file', () => {
      expect(boundsOf(['bounds.config-apply=2.5s', 'bounds.contact=3500ms'])).to.deep.equal({ configApplyMs: 2_500, contactMs: 3_500 })
    })

    it('have defaults', () => {
      expect(boundsOf([])).to.deep.equal({ configApplyMs: 2_000, contactMs: 3_000 })
    })

    it('guards against calls to the store without pause: bounds close to 0 are rejected', () => {
      expect(boundsOf(['bounds.config-apply=0ms', 'bounds.contact=100ms'])).to.have.members(['bounds.config-apply', 'bounds.contact'])
    })
  })

  describe('the bounds of roll-outs', () => {
    const limitsOf = (lines: readonly string[]): unknown => readSettings([...LINES, ...lines].join('\n')).unwrapOr(undefined)?.rolloutLimits

    it('are the share and the number of requests of an unproven version, and the time to leave a bad one', () => {
      expect(limitsOf(['bounds.expose-share=0.1', 'bounds.expose-slack=50', 'bounds.rollback=5000ms'])).to.deep.equal({ exposureShare: 0.1, exposureSlackRequests: 50, rollbackMs: 5_000 })
    })

    it('guards against roll-outs in a deployment that sets only some of them', () => {
      expect(limitsOf(['bounds.expose-share=0.1', 'bounds.rollback=5000ms'])).to.equal(undefined)
    })
  })

  describe('the bounds on accounts', () => {
    const limitsOf = (lines: readonly string[]): unknown => readSettings([...LINES, ...lines].join('\n')).map(({ allowanceLimits }) => allowanceLimits).unwrapOr(undefined)

    it('are those of the settings file; without a window there are none', () => {
      expect(limitsOf(['bounds.quota-window=5s', 'bounds.quota-overshoot=0.1', 'bounds.quota-slack=20'])).to.deep.equal({ windowMs: 5_000, excessShare: 0.1, slackRequests: 20 })
      expect(limitsOf([])).to.equal(undefined)
    })
  })

  describe('the capacity of the machine', () => {
    const capacityOf = (lines: readonly string[]): unknown => readSettings([...LINES, ...lines].join('\n')).match<unknown>({ Ok: ({ capacity }) => capacity, Err: error => error.map(({ path }) => path) })

    it('is its link, and its share of a processor with several times the speed of a core', () => {
      expect(capacityOf(['limits.link-mbps=140.0', 'limits.cpu-share=0.675', 'limits.cpu-cores=2'])).to.deep.equal({ linkMbps: 140, cores: 1.35 })
    })

    it('guards against a start that fails for a limit that is missing or 0: the capacity is unknown', () => {
      expect(capacityOf(['limits.link-mbps=140.0'])).to.equal(undefined)
      expect(capacityOf(['limits.link-mbps=0', 'limits.cpu-share=0.5'])).to.equal(undefined)
    })

    it('guards against limits that are not numbers', () => {
      expect(capacityOf(['limits.link-mbps=fast', 'limits.cpu-share=-1'])).to.have.members(['limits.link-mbps', 'limits.cpu-share'])
    })
  })

  it('guards against a start with invalid settings: every violation is reported', () => {
    const lines = LINES.filter(line => !line.startsWith('zone=')).map(line => line.replace('6s', '6 minutes').replace('10.200.1.7:8541', 'store'))
    const violations = readSettings(lines.join('\n')).match({ Ok: () => [], Err: error => error })
    expect(violations.map(({ path }) => path)).to.have.members(['zone', 'bounds.grace-period', 'platform.address'])
  })
})
