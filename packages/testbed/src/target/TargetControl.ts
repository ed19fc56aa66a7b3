import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import polka from 'polka'
import { parseJsonWith } from '@carobpitch/schema'
import type { StandInTarget } from '../StandInTarget.js'
import { targetBehaviourSchema } from './TargetBehaviour.js'

type ControlRequest = IncomingMessage & { params: Record<string, string | string[]> }

const patchSchema = targetBehaviourSchema.partial()

/**
 * HTTP control endpoint for the stand-in targets in one process.
 *
 * - `GET /targets` lists ids, addresses, loads and behaviours.
 * - `GET /targets/<id>/ledger` returns everything that the target recorded.
 * - `PATCH /targets/<id>` changes fields of the behaviour.
 * - `POST /targets/<id>/kill`, `/revive`, `/cold` and `/warm` take effect immediately.
 * @public
 */
export class TargetControl {
  private readonly targets: ReadonlyMap<string, StandInTarget>
  private readonly server: Server = createServer()

  constructor (targets: ReadonlyMap<string, StandInTarget>) {
    this.targets = targets
  }

  /** Starts to listen. Port 0 takes a free port. */
  async start (port = 0): Promise<void> {
    const app = polka({ server: this.server })
    app.get('/targets', (_request, response) => { send(response, 200, this.listTargets()) })
    app.get('/targets/:id/ledger', (request, response) => this.withTarget(request, response, target => target.snapshot()))
    app.patch('/targets/:id', (request, response) => this.patch(request, response))
    app.post('/targets/:id/:action', (request, response) => this.runAction(request, response))
    this.server.on('request', app.handler as never)
    await new Promise<void>(resolve => this.server.listen(port, '127.0.0.1', resolve))
  }

  /** Base URL of the endpoint. */
  url (): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Closes the endpoint. */
  async stop (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }

  private listTargets (): unknown[] {
    return [...this.targets].map(([targetId, target]) =>
      ({ targetId, url: target.url(), load: target.load(), cold: target.isCold(), behaviour: target.behaviour }))
  }

  private async withTarget (request: ControlRequest, response: ServerResponse, answer: (target: StandInTarget) => unknown): Promise<void> {
    const target = this.targets.get(String(request.params.id))
    if (target === undefined) send(response, 404, { error: `unknown target ${request.params.id}` })
    else send(response, 200, await answer(target))
  }

  private async patch (request: ControlRequest, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    const patch = parseJsonWith(patchSchema, Buffer.concat(chunks).toString('utf8'))
    if (patch.isErr) {
      send(response, 400, { error: patch.error })
      return
    }
    await this.withTarget(request, response, target => {
      target.change(patch.value)
      return target.behaviour
    })
  }

  private async runAction (request: ControlRequest, response: ServerResponse): Promise<void> {
    const action = String(request.params.action)
    const actions: Record<string, (target: StandInTarget) => void | Promise<void>> = {
      kill: target => target.kill(),
      revive: target => target.revive(),
      cold: target => target.setCold(),
      warm: target => target.setWarm()
    }
    const run = actions[action]
    if (run === undefined) {
      send(response, 404, { error: `unknown action ${action}`, allowed: Object.keys(actions) })
      return
    }
    await this.withTarget(request, response, async target => {
      await run(target)
      return { done: action }
    })
  }
}

function send (response: ServerResponse, status: number, body: unknown): void {
  response.statusCode = status
  response.setHeader('content-type', 'application/json')
  response.end(JSON.stringify(body))
}
