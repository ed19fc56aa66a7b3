import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { Registry } from 'prom-client'
import { OperatorListener, type ConfirmOutcome, type RolloutProgress, type OperatorActions, type PlanOutcome, type StatusResponse } from '@carobpitch/control'
import { EventLog } from '@carobpitch/kernel'
import { runTool } from './runTool.js'

const TOKEN = 'operator-token-of-aya'
const directory = mkdtempSync(join(tmpdir(), 'carobpitch-cli-'))

function writeTestFile (name: string, content: unknown): string {
  const path = join(directory, name)
  writeFileSync(path, typeof content === 'string' ? content : JSON.stringify(content))
  return path
}

function createProgress (inForce: boolean): RolloutProgress {
  const waiting = inForce ? [] : [{ instanceId: 'entry-3', reason: 'no answer: timeout' }]
  return { revision: 4, inForce, confirmed: ['entry-1', 'entry-2'], cannotServe: [], waiting } as never
}

const RECORD = { changeId: 'c1', revision: 4, operator: 'aya', summary: 'take failure domain fukuoka out', acceptedAtEpochMs: 0 }
const PLAN = {
  changeId: 'c1',
  baseRevision: 3,
  operator: 'aya',
  createdAtEpochMs: 0,
  expiresAtEpochMs: 0,
  operations: [],
  summary: 'take failure domain fukuoka out',
  withdrawals: { failureDomains: ['fukuoka'], targets: [] },
  warnings: ['chumon: load is unknown; 6 slots remain'],
  impacts: [{ service: 'chumon', changes: ['chumon-1 goes out'], slotsBefore: 12, slotsAfter: 6, warmSlotsAfter: 6, domains: [{ failureDomain: 'fukuoka', slotsBefore: 6, slotsAfter: 0 }] }]
}

describe('the command-line tool', () => {
  const received: unknown[] = []
  const answers = { plan: undefined as unknown, confirm: undefined as unknown, status: [] as unknown[], diff: undefined as unknown }
  const actions = {
    plan: async (operations: unknown) => { received.push(operations); return answers.plan as PlanOutcome },
    confirm: async (changeId: string) => { received.push(changeId); return answers.confirm as ConfirmOutcome },
    status: async () => (answers.status.length > 1 ? answers.status.shift() : answers.status[0]) as StatusResponse,
    history: () => ({ revision: 4, changes: [RECORD] }),
    diff: () => answers.diff,
    instances: () => ({ revision: 4, instances: [] })
  } as unknown as OperatorActions
  let listener: OperatorListener
  let url: string

  before(async () => {
    listener = new OperatorListener({
      listen: { host: '127.0.0.1', port: 0 },
      operatorTokens: { aya: TOKEN },
      actions,
      registry: new Registry(),
      dump: () => ({ revision: 4 }),
      readiness: () => ({ isReady: true, reasons: [] }),
      log: new EventLog({ silent: true })
    })
    await listener.start()
    url = `http://127.0.0.1:${listener.port()}`
  })

  after(async () => await listener.stop())

  beforeEach(() => { received.length = 0 })

  async function run (args: string[], environment: Record<string, string | undefined> = { CAROBPITCH_TOKEN: TOKEN, CAROBPITCH_INSTANCE: url }): Promise<{ code: number, out: string, err: string }> {
    const [out, err]: [string[], string[]] = [[], []]
    const code = await runTool({ args, environment, output: { out: text => out.push(text), err: text => err.push(text) } })
    return { code, out: out.join('\n'), err: err.join('\n') }
  }

  describe('plans', () => {
    it('sends each intent as an operation and prints a table', async () => {
      answers.plan = { kind: 'planned', plan: PLAN }
      const { code, out } = await run(['plan', 'take-domain-out', 'fukuoka'])
      expect([code, received]).to.deep.equal([0, [[{ kind: 'take-domain-out', failureDomain: 'fukuoka' }]]])
      expect(out).to.include('SERVICE').and.include('fukuoka 6→0').and.include('carobpitch confirm c1').and.include('load is unknown')
    })

    it('omits fields whose options are not given', async () => {
      await run(['plan', 'bring-in', 't1', 't2'])
      await run(['plan', 'change-target', 't1', '--slots', '6', '--domain', 'kumamoto'])
      await run(['plan', 'change-service', 'chumon', '--set', 'notRunStatuses=[503]', '--set', 'probePath=/p'])
      expect(received).to.deep.equal([
        [{ kind: 'bring-targets-in', targets: ['t1', 't2'] }],
        [{ kind: 'change-target', targetId: 't1', change: { slots: 6, failureDomain: 'kumamoto' } }],
        [{ kind: 'change-service', service: 'chumon', change: { notRunStatuses: [503], probePath: '/p' } }]
      ])
    })

    it('prints JSON on request, and exits by outcome', async () => {
      answers.plan = { kind: 'refused', reasons: ['chumon: too much'], plan: PLAN }
      const { code, out } = await run(['--json', 'plan', 'take-domain-out', 'fukuoka'])
      expect([code, JSON.parse(out).kind]).to.deep.equal([4, 'refused'])
      answers.plan = { kind: 'invalid', violations: [{ path: 'a', message: 'x' }, { path: 'b', message: 'y' }] }
      const invalid = await run(['plan', 'take-domain-out', 'fukuoka'])
      expect([invalid.code, invalid.out]).to.deep.equal([2, 'Not valid, nothing changed:\n  a: x\n  b: y'])
    })
  })

  describe('confirmations', () => {
    it('shows progress until the change is in force', async () => {
      answers.confirm = { kind: 'accepted', effect: 'accepted', changeId: 'c1', record: RECORD, progress: createProgress(false) }
      answers.status = [{ kind: 'accepted', record: RECORD, progress: createProgress(true) }]
      const { code, out, err } = await run(['confirm', 'c1'])
      expect(code).to.equal(0)
      expect(err).to.include('waiting for entry-3 (no answer: timeout)')
      expect(out).to.include('accepted as revision 4').and.include('is in force: 2 members')
    })

    it('lists the members that have not confirmed when the wait ends', async () => {
      const { code, out } = await run(['confirm', 'c1', '--wait', '0'])
      expect([code, out.includes('entry-3'), out.includes('carobpitch status c1')]).to.deep.equal([7, true, true])
    })

    it('gives every other outcome its own exit code and says whether something changed', async () => {
      const outcomes: Array<[object, number, string]> = [
        [{ kind: 'unknown-plan', changeId: 'c1' }, 9, 'Nothing changed'],
        [{ kind: 'outdated', baseRevision: 3, currentRevision: 4, intervening: [RECORD] }, 5, 'revision 4: c1 by aya'],
        [{ kind: 'store-unavailable', reason: 'timeout' }, 3, 'Nothing changed'],
        [{ kind: 'invalid-document', violations: [] }, 2, 'Nothing changed'],
        [{ kind: 'no-majority', acknowledged: 1, needed: 2, missing: ['entry-2'] }, 4, 'entry-2'],
        [{ kind: 'outcome-unknown', changeId: 'c1', reason: 'reset' }, 6, 'may have taken effect']
      ]
      for (const [outcome, expected, text] of outcomes) {
        answers.confirm = outcome
        const { code, out } = await run(['confirm', 'c1'])
        expect([code, out.includes(text)], JSON.stringify(outcome)).to.deep.equal([expected, true])
      }
    })

    it('reports that the change may have taken effect when the instance crashes during the call', async () => {
      const server = createServer(request => request.socket.destroy())
      await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
      const crashingUrl = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
      const { code, err } = await run(['confirm', 'c1'], { CAROBPITCH_TOKEN: TOKEN, CAROBPITCH_INSTANCE: crashingUrl })
      server.close()
      expect([code, err.includes('may have taken effect'), err.includes('carobpitch status c1')]).to.deep.equal([6, true, true])
    })
  })

  describe('declarations', () => {
    it('applies a file with --yes, but does not confirm a plan with warnings', async () => {
      answers.plan = { kind: 'planned', plan: PLAN }
      answers.confirm = { kind: 'accepted', effect: 'accepted', changeId: 'c1', record: RECORD, progress: createProgress(true) }
      const file = writeTestFile('declaration.json', { services: {}, failureDomains: {}, targets: {} })
      const warned = await run(['apply', file, '--yes'])
      expect([warned.code, warned.out.includes('Confirm with')]).to.deep.equal([12, true])
      expect(received).to.have.length(1)
      expect((await run(['apply', file, '--yes', '--accept-warnings'])).code).to.equal(0)
      expect(received.slice(1)).to.deep.equal([[{ kind: 'apply-declaration', declaration: { services: {}, failureDomains: {}, targets: {} } }], 'c1'])
    })

    it('applies a file to several regions and reports each by name, guarding against a region that fails unnoticed', async () => {
      answers.plan = { kind: 'planned', plan: { ...PLAN, warnings: [] } }
      answers.confirm = { kind: 'accepted', effect: 'accepted', changeId: 'c1', record: RECORD, progress: createProgress(true) }
      const file = writeTestFile('declaration.json', { services: {}, failureDomains: {}, targets: {} })
      const regions = ['--region', `kansai=${await closedUrl()}`, '--region', `kyushu=${url}`]
      const { code, out } = await run(['apply', file, '--yes', ...regions])
      expect([code, received.length]).to.deep.equal([3, 2])
      expect(out).to.match(/kansai \(exit code 3\):\nno instance answers/).and.match(/kyushu \(exit code 0\):\nChange c1 is accepted/)
      const json = JSON.parse((await run(['--json', 'apply', file, '--yes', ...regions])).out)
      expect(json.map(({ region, exitCode, answer }: { region: string, exitCode: number, answer: { kind?: string } }) => [region, exitCode, answer.kind]))
        .to.deep.equal([['kansai', 3, undefined], ['kyushu', 0, 'accepted']])
      expect((await run(['apply', file, '--region', 'kyushu'])).code).to.equal(2)
    })

    it('exits with a separate code when a file differs', async () => {
      answers.diff = { kind: 'different', baseRevision: 4, services: [{ service: 'chumon', changes: ['slots 3 → 6'] }], failureDomains: [] }
      const { code, out } = await run(['diff', writeTestFile('declaration.json', {})])
      expect([code, out.includes('chumon: slots 3 → 6')]).to.deep.equal([10, true])
    })

    it('validates files without an instance and prints all violations', async () => {
      const { code, out } = await run(['validate', 'declaration', writeTestFile('bad.json', { services: { 'a b': {} }, failureDomains: {}, targets: { t1: { service: 'x', url: 'ftp://x' } }, more: 1 })], {})
      expect(code).to.equal(2)
      for (const path of ['services.a b', 'targets.t1.url', 'targets.t1.failureDomain', 'more']) expect(out).to.include(path)
      expect((await run(['validate', 'settings', writeTestFile('bad.json', '{')], {})).err).to.include('not valid JSON')
    })

    it('validates the files of a front program', async () => {
      const faulty = await run(['validate', 'front-settings', writeTestFile('front.conf', 'zone=z1\nlisten.front=nowhere\n')], {})
      expect(faulty.code).to.equal(2)
      for (const path of ['node-name', 'listen.front']) expect(faulty.out).to.include(path)
      const configuration = await run(['validate', 'front-configuration', writeTestFile('configuration.json', { version: 1, routes: {}, services: {} })], {})
      expect([configuration.code, configuration.out.includes('limits')]).to.deep.equal([2, true])
    })
  })

  describe('instances and credentials', () => {
    it('tries instances in order', async () => {
      const closed = await closedUrl()
      const { code, err } = await run(['--instance', closed, '--instance', url, 'history'])
      expect([code, err.includes(`${closed} does not answer (ECONNREFUSED)`)]).to.deep.equal([0, true])
      expect((await run(['--instance', closed, 'confirm', 'c1'])).code).to.equal(3)
    })

    it('reads the credential from a file and never prints it', async () => {
      const file = writeTestFile('token', 'a-wrong-credential\n')
      const results = [
        await run(['--token-file', file, 'history']),
        await run(['--token-file', writeTestFile('token2', 'two words of a-wrong-credential'), 'history']),
        await run(['history'], { CAROBPITCH_INSTANCE: url })
      ]
      expect(results.map(({ code }) => code)).to.deep.equal([8, 8, 8])
      expect(JSON.stringify(results)).not.to.include('a-wrong-credential')
      expect((await run(['--token-file', writeTestFile('token', TOKEN), 'history'])).code).to.equal(0)
    })

    it('documents every exit code in its help', async () => {
      const source = readFileSync(new URL('../src/exitCodes.ts', import.meta.url), 'utf8')
      const codes = [...source.matchAll(/^ {2}\w+: (\d+)/gm)].map(([, code]) => Number(code))
      const { code, out } = await run(['--help'])
      expect(code).to.equal(0)
      for (const exitCode of codes) expect(out).to.match(new RegExp(`^ +${exitCode} {2}`, 'm'))
    })

    it('refuses wrong usage with its own exit code', async () => {
      for (const args of [[], ['frobnicate'], ['plan', 'take-domain-out'], ['confirm', '../x'], ['confirm', 'c1', '--wait', 'long'], ['--instance', 'nowhere', 'history']]) {
        expect((await run(args)).code, args.join(' ')).to.equal(2)
      }
    })
  })
})

/** URL of a port on which nothing listens. */
async function closedUrl (): Promise<string> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  return `http://127.0.0.1:${port}`
}
