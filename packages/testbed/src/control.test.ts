import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { StandInStore } from './StandInStore.js'
import { findPort } from './fleet/findPort.js'

const DAEMON = fileURLToPath(new URL('../../daemon/dist/main.js', import.meta.url))
const TOOL = fileURLToPath(new URL('../../cli/dist/main.js', import.meta.url))
const TOKEN = 'operator-token-for-tests'

interface ToolResult {
  code: number | null
  out: string
  err: string
}

describe('operators\' changes with the daemon and the tool in their own processes', function () {
  // Each step starts a process, which takes seconds on a busy machine.
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
    daemon = spawn(process.execPath, [DAEMON, '--settings', join(directory, 'settings.json')], { stdio: ['ignore', 'inherit', 'pipe'] })
    await waitFor(async () => (await fetch(`${operatorUrl}/healthz`)).ok)
  }

  async function run (...args: string[]): Promise<ToolResult> {
    const child = spawn(process.execPath, [TOOL, '--instance', operatorUrl, '--token-file', join(directory, 'token'), ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
    const [out, err]: [string[], string[]] = [[], []]
    child.stdout.on('data', chunk => out.push(String(chunk)))
    child.stderr.on('data', chunk => err.push(String(chunk)))
    const code = await new Promise<number | null>(resolve => child.once('close', resolve))
    return { code, out: out.join(''), err: err.join('') }
  }

  async function plan (...args: string[]): Promise<string> {
    const { code, out, err } = await run('--json', 'plan', ...args)
    expect(code, out + err).to.equal(0)
    return JSON.parse(out).plan.changeId
  }

  it('brings a declaration into force on an empty store', async () => {
    const file = join(directory, 'declaration.json')
    await writeFile(file, JSON.stringify({
      services: { chumon: { requestClass: 'booking' } },
      failureDomains: { fukuoka: {}, kumamoto: {} },
      targets: {
        'chumon-1': { service: 'chumon', failureDomain: 'fukuoka', url: 'http://127.0.0.1:9001' },
        'chumon-2': { service: 'chumon', failureDomain: 'kumamoto', url: 'http://127.0.0.1:9002' }
      }
    }))
    expect((await run('validate', 'declaration', file)).code).to.equal(0)
    expect((await run('diff', file)).code).to.equal(10)
    const applied = await run('apply', file, '--yes')
    expect([applied.code, applied.out.includes('is in force')], applied.out + applied.err).to.deep.equal([0, true])
    expect((await run('diff', file)).code).to.equal(0)
  })

  it('takes a domain out although the store\'s answer is lost, and returns it cold', async () => {
    const out = await plan('take-domain-out', 'fukuoka')
    store.faults.loseAnswers = 1
    expect((await run('confirm', out)).code).to.equal(0)
    expect((await run('status', out)).code).to.equal(0)
    const back = await plan('return-domain', 'fukuoka')
    expect((await run('confirm', back)).code).to.equal(0)
    const { configuration } = JSON.parse((await run('dump')).out)
    expect(configuration.targets['chumon-1'].broughtInRevision).to.equal(configuration.revision)
    expect(configuration.targets['chumon-2'].broughtInRevision).to.equal(1)
  })

  it('refuses an outdated plan and names the change that was accepted', async () => {
    const [mine, theirs] = [await plan('add-domain', 'kagoshima'), await plan('add-domain', 'nagasaki')]
    expect((await run('confirm', theirs)).code).to.equal(0)
    const { code, out } = await run('confirm', mine)
    expect([code, out.includes(theirs)]).to.deep.equal([5, true])
    expect((await run('status', mine)).code).to.equal(5)
  })

  it('changes nothing while the store is down, and starts without it', async () => {
    const changeId = await plan('add-domain', 'oita')
    store.faults.down = true
    expect((await run('plan', 'add-domain', 'saga')).code).to.equal(3)
    expect((await run('confirm', changeId)).code).to.equal(3)
    daemon.kill('SIGKILL')
    await startDaemon()
    expect((await fetch(`${operatorUrl}/readyz`)).status).to.equal(503)
    store.faults.down = false
    await waitFor(async () => (await fetch(`${operatorUrl}/readyz`)).ok)
    expect((await run('confirm', changeId)).code).to.equal(0)
    expect((await run('history')).out).to.include('add failure domain oita')
  })

  it('shows no credential in the dump, the metrics or the log', async () => {
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
  throw new Error('the condition did not come true')
}
