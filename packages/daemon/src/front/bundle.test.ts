import { execFile } from 'node:child_process'
import { readFileSync, rmSync, writeFileSync } from 'node:fs'
import { promisify } from 'node:util'
import { expect } from 'chai'

const run = promisify(execFile)
const SETTINGS_FILE = 'target/bundle-test.conf'
const SETTINGS: Record<string, string> = {
  'node-name': 'front-1',
  zone: 'z1',
  ip: '127.0.0.1',
  'listen.front': '127.0.0.1:1',
  'listen.ready': '127.0.0.1:2',
  'listen.directory': '127.0.0.1:3',
  'listen.control': '127.0.0.1:4',
  'platform.address': '127.0.0.1:9',
  'platform.ttl-min': '1s',
  'bounds.grace-period': '6s',
  'bounds.ttl_max': '5s',
  'bounds.probes-per-s': '60',
  'bounds.retry-budget-ratio': '0.2',
  'bounds.retry-budget-slack': '56',
  'bounds.budget-window': '10s'
}

describe('bundle of the front program', () => {
  it('loads with its code cache under the flags of the deploy file, as V8 rejects a cache that other flags wrote', async () => {
    await run(process.execPath, ['scripts/bundle-front.mjs'])
    const nodeArguments = /^run = "node (.+)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1]?.split(' ') ?? []
    writeFileSync(SETTINGS_FILE, Object.entries(SETTINGS).map(([name, value]) => `${name}=${value}\n`).join(''))
    const { stdout } = await run(process.execPath, [...nodeArguments, '--check'], { env: { ...process.env, CAROBPITCH_SETTINGS: SETTINGS_FILE } })
    rmSync(SETTINGS_FILE)
    expect(stdout).to.contain('code cache used')
  })
})
