import { expect } from 'chai'
import { readSettings } from '@carobpitch/platform'
import type { FrontSettings } from '@carobpitch/gateway'
import { LiveSettings } from './LiveSettings.js'

const LINES = [
  'node-name=front-1', 'zone=z1', 'ip=10.1.0.34', 'listen.front=10.1.0.34:8548', 'listen.ready=10.1.0.34:8542', 'listen.control=10.1.0.34:8544',
  'listen.directory=10.1.0.34:8546', 'seeds=10.1.0.34:8544', 'bounds.grace-period=6s', 'bounds.ttl_max=5s', 'bounds.probes-per-s=60',
  'bounds.retry-budget-ratio=0.2', 'bounds.retry-budget-slack=56', 'bounds.budget-window=10s', 'platform.address=10.200.1.7:8541', 'platform.ttl-min=1000ms'
]

function settingsOf (...changes: readonly string[]): FrontSettings {
  const names = changes.map(line => line.slice(0, line.indexOf('=') + 1))
  const lines = [...LINES.filter(line => !names.some(name => line.startsWith(name))), ...changes]
  return readSettings(lines.join('\n')).match({ Ok: settings => settings, Err: violations => { throw new Error(JSON.stringify(violations)) } })
}

describe('LiveSettings', () => {
  let live: LiveSettings

  beforeEach(() => { live = new LiveSettings({ initial: settingsOf() }) })

  it('applies at one moment what can change while the process runs', () => {
    const change = live.adopt(settingsOf('bounds.probes-per-s=30', 'bounds.retry-budget-slack=10', 'bounds.grace-period=9s', 'seeds=10.1.0.35:8544', 'limits.memory-mb=100'))
    expect(change.changed).to.have.members(['probesPerTargetAndS', 'retryLimits', 'stopGraceMs', 'seedPeerUrls', 'bodyMemoryBytes'])
    expect(change.needsRestart).to.deep.equal([])
    expect(live.current()).to.deep.include({ probesPerTargetAndS: 30, stopGraceMs: 9_000, seedPeerUrls: ['http://10.1.0.35:8544'], bodyMemoryBytes: 20_000_000 })
  })

  it('guards against settings that seem in force but need a restart: they keep their values and are named', () => {
    const change = live.adopt(settingsOf('platform.address=10.200.1.8:8541', 'listen.front=10.1.0.34:9000', 'bounds.probes-per-s=30'))
    expect(change).to.deep.equal({ changed: ['probesPerTargetAndS'], needsRestart: ['callerListen', 'storeUrl'] })
    expect(live.current()).to.deep.include({ storeUrl: 'http://10.200.1.7:8541', callerListen: { host: '10.1.0.34', port: 8548 } })
    expect(live.status().needsRestart).to.deep.equal(['callerListen', 'storeUrl'])
    live.adopt(settingsOf('bounds.probes-per-s=30'))
    expect(live.status().needsRestart).to.deep.equal([])
  })

  describe('the digest', () => {
    const digestOf = (...changes: readonly string[]): string => new LiveSettings({ initial: settingsOf(...changes) }).status().digest

    it('guards against instances that seem to differ because of their machines and addresses', () => {
      expect(digestOf('node-name=front-2', 'zone=z2', 'ip=10.1.0.99', 'listen.front=10.1.0.99:8548', 'limits.memory-mb=600', 'limits.link-mbps=10', 'limits.cpu-share=1', 'seeds=10.9.9.9:1')).to.equal(digestOf())
    })

    it('guards against instances that seem alike while a bound differs', () => {
      expect(digestOf('bounds.probes-per-s=30')).to.not.equal(digestOf())
      expect(digestOf('bounds.contact=4s')).to.not.equal(digestOf())
    })

    it('is that of the settings in force, not of the file', () => {
      live.adopt(settingsOf('platform.address=10.200.1.8:8541'))
      expect(live.status().digest).to.equal(digestOf())
      live.adopt(settingsOf('bounds.probes-per-s=30'))
      expect(live.status().digest).to.equal(digestOf('bounds.probes-per-s=30'))
    })
  })
})
