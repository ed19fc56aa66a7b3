import { once } from 'node:events'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { expect } from 'chai'
import { checkHistory } from './checkHistory.js'
import { LinkProxy } from './LinkProxy.js'
import { contentOf, readRequestPath } from './requestContent.js'
import { SeededRandom } from './SeededRandom.js'
import { SoakCaller } from './SoakCaller.js'
import type { CallerKind, CallerRecord, SoakHistory, TargetRecord } from './SoakHistory.js'

interface ParsedRequest { requestId: string, answerBytes: number }

/** How a relay treats the requests that arrive together on a connection. */
type Relay = (socket: Socket, requests: ParsedRequest[], run: (request: ParsedRequest) => void) => void

function answerTo ({ requestId, answerBytes }: ParsedRequest, head = 'HTTP/1.1 200 OK'): Buffer {
  return Buffer.concat([Buffer.from(`${head}\r\nx-carobpitch-server-seal: seal\r\nx-carobpitch-attempt-id: ${requestId}\r\nContent-Length: ${answerBytes}\r\n\r\n`), contentOf(requestId, answerBytes)])
}

const refusal = Buffer.from('HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n')

const relays: Record<string, Relay> = {
  sound: (socket, requests, run) => {
    for (const request of requests) {
      run(request)
      socket.write(answerTo(request))
    }
  },
  'closes after the first answer': (socket, requests, run) => {
    for (const request of requests) run(request)
    socket.end(answerTo(requests[0] as ParsedRequest))
  },
  'runs twice': (socket, requests, run) => {
    for (const request of requests) {
      run(request)
      run(request)
      socket.write(answerTo(request))
    }
  },
  'mixes the answers up': (socket, requests, run) => {
    for (const request of requests) run(request)
    for (const request of [...requests].reverse()) socket.write(answerTo(request))
  },
  'refuses and runs': (socket, requests, run) => {
    for (const request of requests) {
      run(request)
      socket.write(refusal)
    }
  },
  'answers once more': (socket, requests, run) => {
    relays.sound?.(socket, requests, run)
    socket.write(refusal)
  }
}

/** Lets a caller send to a relay until it has sent enough requests, and returns what both saw. */
async function play (relay: Relay, kind: CallerKind): Promise<SoakHistory> {
  const targets: TargetRecord[] = []
  const callers: CallerRecord[] = []
  const surplusAnswers: SoakHistory['surplusAnswers'] = []
  const server = createServer({ allowHalfOpen: true }, socket => {
    socket.on('error', () => {})
    socket.on('data', chunk => {
      const requests = [...chunk.toString('latin1').matchAll(/(?:GET|POST) (\S+) HTTP\/1.1\r\n[^]*?attempt-id: (\S+)/gi)].map(([, path = '', requestId = '']) => ({ requestId, answerBytes: readRequestPath(path).answerBytes }))
      const run = ({ requestId }: ParsedRequest): void => { targets.push({ requestId, targetId: `target-${targets.length}`, atMs: performance.now(), hasRun: true, isBodyIntact: true }) }
      if (requests.length > 0) relay(socket, requests, run)
    })
  })
  await once(server.listen(0, '127.0.0.1'), 'listening')
  const proxy = new LinkProxy((server.address() as AddressInfo).port)
  await proxy.start()
  const caller = new SoakCaller({ name: 'c', kind, random: new SeededRandom(1), fronts: [{ name: 'front-1', proxy }], records: callers, onSurplusAnswer: front => surplusAnswers.push({ front, atMs: performance.now() }) })
  const running = caller.run()
  while (callers.length < 12) await new Promise(resolve => setTimeout(resolve, 5))
  caller.stop()
  await running
  await proxy.stop()
  server.close()
  return { callers, targets, disturbances: [], surplusAnswers, stalls: [] }
}

describe('SoakCaller with the checks', () => {
  it('reports nothing for a sound relay', async () => {
    expect(checkHistory(await play(relays.sound as Relay, 'pipelined'))).to.deep.equal([])
  })

  for (const [name, rule] of [['closes after the first answer', 'LOST'], ['runs twice', 'TWICE'], ['mixes the answers up', 'MIXED'], ['refuses and runs', 'REFUSED'], ['answers once more', 'MIXED']] as const) {
    it(`reports ${rule} for a relay that ${name}`, async () => {
      const rules = checkHistory(await play(relays[name] as Relay, 'pipelined')).map(({ rule }) => rule)
      expect(new Set(rules)).to.deep.equal(new Set([rule]))
    })
  }
})
