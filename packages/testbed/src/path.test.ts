import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { configurationSchema } from '@carobpitch/schema'
import { EtcdStore } from '@carobpitch/store'
import { seedStore } from './deployment/seedStore.js'
import { StandInStore } from './StandInStore.js'
import { StandInTarget } from './StandInTarget.js'
import { findPort } from './fleet/findPort.js'

const DAEMON_MAIN = fileURLToPath(new URL('../../daemon/dist/main.js', import.meta.url))
const CLI_MAIN = fileURLToPath(new URL('../../cli/dist/main.js', import.meta.url))
const TOKEN = 'operator-token-for-tests'

describe('path from a caller to a target', () => {
  describe('through a daemon in its own process', () => {
    const store = new StandInStore()
    const target = new StandInTarget({ targetId: 'menzaiko-1' })
    let daemon: ChildProcess
    let callerPort: number
    let operatorPort: number

    before(async () => {
      await store.start()
      await target.start()
      await seedConfiguration(store.url(), target.url())
      ;[callerPort, operatorPort] = [await findPort(), await findPort()]
      const directory = await mkdtemp(join(tmpdir(), 'carobpitch-'))
      await writeFile(join(directory, 'credentials.json'), JSON.stringify({ peerToken: 'peer-token-for-tests', operatorTokens: { test: TOKEN } }))
      await writeFile(join(directory, 'settings.json'), JSON.stringify({
        deployment: 'hakata',
        instanceId: 'entry-1',
        failureDomain: 'fukuoka',
        caller: { host: '127.0.0.1', port: callerPort },
        peer: { host: '127.0.0.1', port: await findPort() },
        operator: { host: '127.0.0.1', port: operatorPort },
        credentialsFile: join(directory, 'credentials.json'),
        store: { urls: [store.url()] }
      }))
      daemon = spawn(process.execPath, [DAEMON_MAIN, '--settings', join(directory, 'settings.json')], { stdio: 'inherit' })
      await waitUntilReady(`http://127.0.0.1:${operatorPort}/readyz`)
    })

    after(async () => {
      daemon.kill('SIGKILL')
      await target.stop()
      await store.stop()
    })

    it('lists the instances and forwards a request, guarding against components that do not work together', async () => {
      const answer = await (await fetch(`http://127.0.0.1:${callerPort}/.carobpitch/instances?service=menzaiko`)).json() as { instances: Array<{ url: string }> }
      const url = answer.instances[0]?.url ?? ''
      const response = await fetch(`${url}/stock/42`, { headers: { 'carobpitch-service': 'menzaiko', 'carobpitch-request-id': 'r1' } })
      expect(response.status).to.equal(200)
      expect(response.headers.get('carobpitch-verdict')).to.equal('answered')
      expect(await response.json()).to.deep.equal({ target: 'menzaiko-1', requestId: 'r1', ran: true, end: true })
      expect(target.ledger.map(run => run.requestId)).to.deep.equal(['r1'])
    })

    it('rejects a request to an unknown service as not run', async () => {
      const response = await fetch(`http://127.0.0.1:${callerPort}/`, { headers: { 'carobpitch-service': 'unknown' } })
      expect(response.status).to.equal(404)
      expect(response.headers.get('carobpitch-verdict')).to.equal('not-run')
    })

    it('dumps the state of the instance through the command-line tool', async () => {
      const output = await runCli(['--instance', `http://127.0.0.1:${operatorPort}`, 'dump'])
      expect(JSON.parse(output).configuration.revision).to.equal(1)
    })
  })
})

async function seedConfiguration (storeUrl: string, targetUrl: string): Promise<void> {
  const store = new EtcdStore({ urls: [storeUrl] })
  const document = {
    revision: 1,
    services: { menzaiko: {} },
    failureDomains: { fukuoka: {} },
    targets: { 'menzaiko-1': { service: 'menzaiko', failureDomain: 'fukuoka', url: targetUrl } }
  }
  await seedStore(store, 'hakata', configurationSchema.parse(document))
  await store.close()
}

async function waitUntilReady (url: string): Promise<void> {
  for (let attempt = 0; attempt < 200; attempt += 1) {
    const served = await fetch(url).then(response => response.ok, () => false)
    if (served) return
    await new Promise(resolve => setTimeout(resolve, 50))
  }
  throw new Error(`${url} does not answer`)
}

async function runCli (args: string[]): Promise<string> {
  const child = spawn(process.execPath, [CLI_MAIN, ...args], { stdio: ['ignore', 'pipe', 'inherit'], env: { ...process.env, CAROBPITCH_TOKEN: TOKEN } })
  let output = ''
  for await (const chunk of child.stdout) output += String(chunk)
  return output
}
