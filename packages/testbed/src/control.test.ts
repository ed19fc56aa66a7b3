import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { StandInStore } from './StandInStore.js'
import { findPort } from './fleet/findPort.js'

const DAEMON_MAIN = fileURLToPath(new URL('../../daemon/dist/main.js', import.meta.url))
const CLI_MAIN = fileURLToPath(new URL('../../cli/dist/main.js', import.meta.url))
const TOKEN = 'operator-token-for-tests'

interface CliResult {
  code: number | null
  out: string
  err: string
}

describe('the command-line tool with a daemon, each in its own process', function () {
  // Each step starts a process, which takes seconds on a loaded machine.
  this.timeout(120_000)
  const store = new StandInStore()
  let directory: string
  let daemon: ChildProcess
  let operatorUrl: string

  before(async () => {
    await store.start()
    directory = await mkdtemp(join(tmpdir(), 'carobpitch-control-'))
    const operatorPort = await findPort()
    operatorUrl = `http://127.0.0.1:${operatorPort}`
    await writeFile(join(directory, 'credentials.json'), JSON.stringify({ peerToken: 'peer-token-for-tests', operatorTokens: { aya: TOKEN } }))
    await writeFile(join(directory, 'token'), `${TOKEN}\n`)
    await writeFile(join(directory, 'settings.json'), JSON.stringify({
      deployment: 'hakata',
      instanceId: 'entry-1',
      failureDomain: 'fukuoka',
      caller: { host: '127.0.0.1', port: await findPort() },
      peer: { host: '127.0.0.1', port: await findPort() },
      operator: { host: '127.0.0.1', port: operatorPort },
      credentialsFile: join(directory, 'credentials.json'),
      store: { urls: [store.url()], requestTimeoutMs: 500 },
      logLevel: 'error'
    }))
    await startDaemon()
  })

  after(async () => {
    daemon.kill('SIGKILL')
    await store.stop()
  })

  async function startDaemon (): Promise<void> {
    daemon = spawn(process.execPath, [DAEMON_MAIN, '--settings', join(directory, 'settings.json')], { stdio: ['ignore', 'inherit', 'pipe'] })
    await waitFor(async () => (await fetch(`${operatorUrl}/healthz`)).ok)
  }

  async function runCli (...args: string[]): Promise<CliResult> {
    const child = spawn(process.execPath, [CLI_MAIN, '--instance', operatorUrl, '--token-file', join(directory, 'token'), ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
    const [out, err]: [string[], string[]] = [[], []]
    child.stdout.on('data', chunk => out.push(String(chunk)))
    child.stderr.on('data', chunk => err.push(String(chunk)))
    const code = await new Promise<number | null>(resolve => child.once('close', resolve))
    return { code, out: out.join(''), err: err.join('') }
  }

  async function plan (...args: string[]): Promise<string> {
    const { code, out, err } = await runCli('--json', 'plan', ...args)
    expect(code, out + err).to.equal(0)
    return JSON.parse(out).plan.changeId
  }

  it('applies a declaration to an empty store', async () => {
    const file = join(directory, 'declaration.json')
    await writeFile(file, JSON.stringify({
      services: { chumon: { requestClass: 'booking' } },
      failureDomains: { fukuoka: {}, kumamoto: {} },
      targets: {
        'chumon-1': { service: 'chumon', failureDomain: 'fukuoka', url: 'http://127.0.0.1:9001' },
        'chumon-2': { service: 'chumon', failureDomain: 'kumamoto', url: 'http://127.0.0.1:9002' }
      }
    }))
    expect((await runCli('validate', 'declaration', file)).code).to.equal(0)
    expect((await runCli('diff', file)).code).to.equal(10)
    const applied = await runCli('apply', file, '--yes')
    expect([applied.code, applied.out.includes('is in force')], applied.out + applied.err).to.deep.equal([0, true])
    expect((await runCli('diff', file)).code).to.equal(0)
  })

  it('takes a failure domain out despite a lost response of the store, and returns it cold', async () => {
    const out = await plan('take-domain-out', 'fukuoka')
    store.faults.loseAnswers = 1
    expect((await runCli('confirm', out)).code).to.equal(0)
    expect((await runCli('status', out)).code).to.equal(0)
    const back = await plan('return-domain', 'fukuoka')
    expect((await runCli('confirm', back)).code).to.equal(0)
    const { configuration } = JSON.parse((await runCli('dump')).out)
    expect(configuration.targets['chumon-1'].broughtInRevision).to.equal(configuration.revision)
    expect(configuration.targets['chumon-2'].broughtInRevision).to.equal(1)
  })

  it('refuses an outdated plan and names the change that was accepted', async () => {
    const [outdated, accepted] = [await plan('add-domain', 'kagoshima'), await plan('add-domain', 'nagasaki')]
    expect((await runCli('confirm', accepted)).code).to.equal(0)
    const { code, out } = await runCli('confirm', outdated)
    expect([code, out.includes(accepted)]).to.deep.equal([5, true])
    expect((await runCli('status', outdated)).code).to.equal(5)
  })

  it('changes nothing while the store is down, and the daemon starts without it', async () => {
    const changeId = await plan('add-domain', 'oita')
    store.faults.down = true
    expect((await runCli('plan', 'add-domain', 'saga')).code).to.equal(3)
    expect((await runCli('confirm', changeId)).code).to.equal(3)
    daemon.kill('SIGKILL')
    await startDaemon()
    expect((await fetch(`${operatorUrl}/readyz`)).status).to.equal(503)
    store.faults.down = false
    await waitFor(async () => (await fetch(`${operatorUrl}/readyz`)).ok)
    expect((await runCli('confirm', changeId)).code).to.equal(0)
    expect((await runCli('history')).out).to.include('add failure domain oita')
  })

  it('writes no credential to the dump, the metrics or the log', async () => {
    const headers = { authorization: `Bearer ${TOKEN}` }
    const texts = await Promise.all(['/dump', '/metrics'].map(async path => await (await fetch(`${operatorUrl}${path}`, { headers })).text()))
    const log: string[] = []
    daemon.stderr?.on('data', chunk => log.push(String(chunk)))
    await fetch(`${operatorUrl}/dump`, { headers: { authorization: 'Bearer a-wrong-credential' } })
    expect(texts.join('') + log.join('')).to.include('carobpitch_adopted_revision')
      .and.not.include(TOKEN).and.not.include('peer-token-for-tests').and.not.include('a-wrong-credential')
  })
})

async function waitFor (check: () => Promise<boolean>): Promise<void> {
  for (let attempt = 0; attempt < 300; attempt += 1) {
    if (await check().catch(() => false)) return
    await new Promise(resolve => setTimeout(resolve, 50))
  }
  throw new Error('condition not met within 300 checks')
}
