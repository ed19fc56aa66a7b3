import { execFile, spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { readFileSync, renameSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { connect, createServer, type AddressInfo } from 'node:net'
import { basename } from 'node:path'
import { promisify } from 'node:util'
import { expect } from 'chai'
import { STORE_KEYS, StandInPlatformStore, STORE_PATHS, wireConfiguration } from '@carobpitch/platform'
import { waitUntil } from './testing/FrontTestHarness.js'

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

/** Time for which the processes run, in which each of them alone would read the store several times. */
const RUN_MS = 4_000
const INSTANCES = 3
/** Time after which a request has arrived; shorter than it waits for a configuration. */
const HELD_MS = 300
/** Time within which a changed settings file is noticed without a signal. */
const FILE_CHECK_MAX_MS = 8_000
/** Time after which all instances know each other. */
const SETTLE_MS = 1_500

const nodeArguments = /^run = "node (.+)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1]?.split(' ') ?? []

function writeSettings (file: string, settings: Record<string, string>): void {
  writeFileSync(file, Object.entries(settings).map(([name, value]) => `${name}=${value}\n`).join(''))
}

async function findFreePort (): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  return port
}

describe('bundle of the front program', () => {
  before(async () => { await run(process.execPath, ['scripts/bundle-front.mjs']) })

  it('loads with its code cache under the flags of the deploy file, as V8 rejects a cache that other flags wrote', async () => {
    writeSettings(SETTINGS_FILE, SETTINGS)
    const { stdout } = await run(process.execPath, [...nodeArguments, '--check'], { env: { ...process.env, CAROBPITCH_SETTINGS: SETTINGS_FILE } })
    rmSync(SETTINGS_FILE)
    expect(stdout).to.contain('code cache used')
  })

  it('guards against a crash that does not say how many requests end with it', async () => {
    const file = 'target/bundle-test-crash.conf'
    const port = await findFreePort()
    const listeners = await Promise.all(['ready', 'directory', 'control'].map(async name => [`listen.${name}`, `127.0.0.1:${await findFreePort()}`]))
    writeSettings(file, { ...SETTINGS, ...Object.fromEntries(listeners) as Record<string, string>, 'listen.front': `127.0.0.1:${port}`, 'metrics.port': String(await findFreePort()) })
    const crash = "data:text/javascript,process.on('SIGUSR2',()=>{throw(new(Error)('a%20defect'))})"
    const child = spawn(process.execPath, ['--import', crash, ...nodeArguments], { env: { ...process.env, CAROBPITCH_SETTINGS: file }, stdio: ['ignore', 'pipe', 'ignore'] })
    let log = ''
    child.stdout.setEncoding('utf8').on('data', (text: string) => { log += text })
    await waitUntil(() => log.includes('event=peer.listening'))
    // Without a configuration, a request is held for a moment.
    const caller = connect(port, '127.0.0.1').on('error', () => {})
    caller.write('GET / HTTP/1.1\r\nhost: shop.example\r\n\r\n')
    await new Promise(resolve => setTimeout(resolve, HELD_MS))
    child.kill('SIGUSR2')
    const [code] = await once(child, 'close') as [number]
    rmSync(file)
    expect(code).to.equal(1)
    expect(log).to.match(/event=process.failed .*reason="a defect" inFlight=1 /)
  })

  describe('as several processes', () => {
    const store = new StandInPlatformStore()
    const files: string[] = []
    const processes: ChildProcess[] = []
    let log = ''

    before(async () => {
      const storeAddress = new URL(await store.start()).host
      store.put(STORE_KEYS.configuration, wireConfiguration())
      for (let index = 0; index < INSTANCES; index += 1) {
        const file = `target/bundle-test-${index}.conf`
        const listeners = await Promise.all(['front', 'ready', 'directory', 'control'].map(async name => [`listen.${name}`, `127.0.0.1:${await findFreePort()}`]))
        writeSettings(file, { ...SETTINGS, ...Object.fromEntries(listeners) as Record<string, string>, 'node-name': `front-${index}`, 'platform.address': storeAddress, 'metrics.port': String(await findFreePort()) })
        files.push(file)
        const child = spawn(process.execPath, nodeArguments, { env: { ...process.env, CAROBPITCH_SETTINGS: file }, stdio: ['ignore', 'pipe', 'ignore'] })
        child.stdout.setEncoding('utf8').on('data', (text: string) => { log += text })
        processes.push(child)
      }
      // A signal ends a process that has not yet installed its handlers.
      await waitUntil(() => log.split('event=process.started').length > INSTANCES)
    })

    after(async () => {
      for (const child of processes) child.kill('SIGKILL')
      for (const file of files) rmSync(file)
      await store.stop()
    })

    it('guards against parts that the bundle leaves out but the feed between processes needs: followers read from their relay, not from the store', async () => {
      await waitUntil(() => log.split('event=member.entered').length > INSTANCES)
      await new Promise(resolve => setTimeout(resolve, SETTLE_MS))
      const countReads = (): number => store.calls.filter(path => path.startsWith(STORE_PATHS.changes)).length
      const readsBefore = countReads()
      log = ''
      await new Promise(resolve => setTimeout(resolve, RUN_MS))
      expect(log.split('\n').filter(line => /relay\.refused|process\.failed/.test(line))).to.deep.equal([])
      // One reader waits for 0.46 of the bound of 2 s and pauses for 0.1 of it.
      expect(countReads() - readsBefore).to.be.within(2, RUN_MS / 1_000 * 1.25)
    })

    it('guards against a changed settings file that takes effect in part, ends the process, or needs a signal to be seen', async () => {
      const [file, child] = [files[0], processes[0]] as [string, ChildProcess]
      const text = readFileSync(file, 'utf8')
      log = ''
      writeFileSync(file, text.replace('bounds.probes-per-s=60', 'bounds.probes-per-s=30').replace('bounds.grace-period=6s', 'bounds.grace-period=soon'))
      child.kill('SIGHUP')
      await waitUntil(() => log.includes('event=settings.invalid'))
      expect(log).to.contain('bounds.grace-period').and.not.contain('event=settings.adopted')
      writeFileSync(file, text.replace('bounds.probes-per-s=60', 'bounds.probes-per-s=30').replace('zone=z1', 'zone=z2'))
      child.kill('SIGHUP')
      await waitUntil(() => log.includes('changed=probesPerTargetAndS needsRestart=failureDomain'))
      log = ''
      writeFileSync(file, `${text}\nbounds.retry-budget-slack=10\n`)
      await waitUntil(() => /changed=\S*retryLimits/.test(log), FILE_CHECK_MAX_MS)
      expect(child.exitCode).to.equal(null)
    })

    it('guards against a settings file that cannot be read and ends the process with the requests that it holds', async () => {
      const [file, child] = [files[0], processes[0]] as [string, ChildProcess]
      renameSync(file, `${file}.away`)
      symlinkSync(basename(file), file)
      log = ''
      child.kill('SIGHUP')
      await waitUntil(() => log.includes('event=settings.invalid') || log.includes('event=process.failed'))
      rmSync(file)
      renameSync(`${file}.away`, file)
      child.kill('SIGHUP')
      await waitUntil(() => log.includes('event=settings.adopted') || log.includes('event=process.failed'))
      expect(log).to.contain('ELOOP').and.not.contain('event=process.failed')
      expect(child.exitCode).to.equal(null)
    })
  })
})
