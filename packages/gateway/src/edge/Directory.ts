import type { Server, ServerResponse } from 'node:http'
import { closeServer, openServer, type Service } from '@carobpitch/kernel'
import { shuffle } from '@carobpitch/membership'
import type { FailureDomainId, ListenerSettings, MemberRecord } from '@carobpitch/schema'
import type { CallerProtocol } from './CallerProtocol.js'
import { createPathServer } from './createPathServer.js'

/** Largest number of addresses in a response; callers read no more. */
const ADDRESSES_MAX = 64
/** With fewer instances than this in the caller's failure domain, the response lists the instances of all domains. */
const NEAR_ADDRESSES_MIN = 2

/**
 * Options of `Directory`.
 * @public
 */
export interface DirectoryOptions {
  listen: ListenerSettings
  protocol: CallerProtocol
  /** Instances that callers may use, this one included if it serves. */
  serving: () => readonly MemberRecord[]
  /** Selects the instances for a host, out of those of one failure domain; by default all of them. */
  select?: (host: string | undefined, members: readonly MemberRecord[], domains: ReadonlySet<FailureDomainId>) => readonly MemberRecord[]
  /** Time for which callers may cache a response. */
  ttlMs: () => number
  random?: () => number
}

/**
 * Serves the addresses of instances to callers.
 * @public
 */
export class Directory implements Service {
  private readonly options: Required<DirectoryOptions>
  private readonly server: Server

  constructor (options: DirectoryOptions) {
    this.options = { random: Math.random, select: (_host, members) => members, ...options }
    const { protocol } = options
    this.server = createPathServer({
      [protocol.directoryPath]: (request, response) => this.respond(request.query as Record<string, unknown>, response)
    })
  }

  async start (): Promise<void> {
    await openServer(this.server, this.options.listen)
  }

  async stop (): Promise<void> {
    await closeServer(this.server)
  }

  /** Returns the addresses for a caller: those of its failure domain that are selected for the host, and all of all domains when there are few. */
  addressesFor (failureDomain: FailureDomainId | undefined, host?: string): string[] {
    const { serving: listServing, select } = this.options
    const serving = listServing()
    const near = serving.filter(member => member.failureDomain === failureDomain)
    const listed = near.length >= NEAR_ADDRESSES_MIN ? select(host, near, new Set(serving.map(member => member.failureDomain))) : serving
    return shuffle(listed.map(({ callerUrl }) => new URL(callerUrl).host), this.options.random).slice(0, ADDRESSES_MAX)
  }

  private respond (query: Record<string, unknown>, response: ServerResponse): void {
    const { protocol, ttlMs } = this.options
    const { failureDomain, host } = protocol.readQuestion(query)
    const addresses = this.addressesFor(failureDomain, host)
    if (addresses.length === 0) {
      response.writeHead(503, { 'content-length': 0 }).end()
      return
    }
    const body = protocol.formatAddresses(addresses, ttlMs())
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }).end(body)
  }
}
