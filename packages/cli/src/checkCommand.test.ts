import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { STORE_KEYS, StandInPlatformStore, wireConfiguration, wireRoute, type WireRoute } from '@carobpitch/platform'
import { expect } from 'chai'
import { runTool } from './runTool.js'

describe('the check of a configuration before it is sent', () => {
  let directory = ''

  beforeEach(() => { directory = mkdtempSync(join(tmpdir(), 'check-')) })
  afterEach(() => rmSync(directory, { recursive: true }))

  function write (name: string, text: string): string {
    const file = join(directory, name)
    writeFileSync(file, text)
    return file
  }

  async function check (...args: string[]): Promise<{ code: number, out: string }> {
    const lines: string[] = []
    const output = { out: (text: string) => lines.push(text), err: (text: string) => lines.push(text) }
    return { code: await runTool({ args: ['check', ...args], output: output as never, environment: {} }), out: lines.join('\n') }
  }

  function withAccounts (text: string, tenants: object): string {
    return JSON.stringify({ ...JSON.parse(text), tenants })
  }

  it('accepts a configuration without findings', async () => {
    const { code, out } = await check(write('next.json', wireConfiguration()))
    expect([code, out.endsWith('can be sent.')]).to.deep.equal([0, true])
  })

  describe('finds', () => {
    const cases: Array<[string, Record<string, WireRoute>, string]> = [
      ['a route that another one shadows', { first: wireRoute(), second: wireRoute({ host: 'SHOP.example' }) }, 'routes.first: never matches: second'],
      ['a host that no request has', { stock: wireRoute({ host: 'https://shop.example' }) }, 'routes.stock: never matches: no request has the host'],
      ['a prefix that no path has', { stock: wireRoute({ prefix: '/stock?all/' }) }, 'routes.stock: never matches: no path begins with'],
      ['a timeout below the objective', { stock: wireRoute({ timeout: '500ms' }) }, 'routes.stock: the timeout (500 ms) ends before'],
      ['repeats that are allowed and impossible', { stock: wireRoute({ 'max-attempts': 1 }) }, 'routes.stock: may run more than once']
    ]
    for (const [title, routes, expected] of cases) {
      it(title, async () => {
        const { code, out } = await check(write('next.json', wireConfiguration({ routes })))
        expect([code, out.includes(expected)], out).to.deep.equal([0, true])
      })
    }

    it('a service that no route uses, and a route whose service has no entry', async () => {
      const { code, out } = await check(write('next.json', wireConfiguration({ services: ['other'] })))
      expect([code, out.includes('services.other: no route'), out.includes('names the unknown service menzaiko')], out).to.deep.equal([2, true, true])
    })

    it('accounts without keys and keys of two accounts, and prints no key', async () => {
      const tenants = { none: { 'api-keys': [] }, one: { 'api-keys': ['secret'] }, other: { 'api-keys': ['secret'] } }
      const { code, out } = await check(write('next.json', withAccounts(wireConfiguration(), tenants)))
      expect([code, out.includes('accounts.none: has no key'), out.includes('that one holds as well'), out.includes('secret')], out).to.deep.equal([2, true, true, false])
    })
  })

  describe('compares with the version in force', () => {
    it('in a file, without showing keys', async () => {
      const inForce = withAccounts(wireConfiguration(), { one: { 'api-keys': ['former-key'], 'rate-per-s': 5 } })
      const routes = { stock: wireRoute({ 'target-latency': '700ms' }), more: wireRoute({ prefix: '/more/' }) }
      const next = withAccounts(wireConfiguration({ version: 8, routes }), { one: { 'api-keys': ['later-key'], 'rate-per-s': 9 } })
      const { code, out } = await check(write('next.json', next), '--against', write('in-force.json', inForce))
      for (const line of ['routes.more: added', 'routes.stock.objectiveMs: 600 -> 700', 'accounts.one.requestsPerS: 5 -> 9', 'accounts.one.keys: 1 added, 1 removed']) expect(out).to.include(line)
      expect([code, out.includes('-key')]).to.deep.equal([0, false])
    })

    it('and refuses a version that would not be adopted', async () => {
      const file = write('next.json', wireConfiguration())
      const { code, out } = await check(file, '--against', file)
      expect([code, out.includes('version: must be above 7')], out).to.deep.equal([2, true])
    })

    it('in the store', async () => {
      const store = new StandInPlatformStore()
      const url = await store.start()
      store.put(STORE_KEYS.configuration, wireConfiguration())
      const { code, out } = await check(write('next.json', wireConfiguration({ version: 8 })), '--against', url)
      await store.stop()
      expect([code, out.includes('Nothing but the version differs')], out).to.deep.equal([0, true])
    })

    it('and says that the store does not answer', async () => {
      const { code, out } = await check(write('next.json', wireConfiguration()), '--against', 'http://127.0.0.1:1')
      expect([code, out.includes('does not answer')], out).to.deep.equal([3, true])
    })
  })
})
