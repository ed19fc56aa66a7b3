import { createTRPCClient, httpLink, TRPCClientError, type TRPCClient } from '@trpc/client'
import type { OperatorRouter } from '@carobpitch/control'
import { CommandError } from './CommandError.js'
import { EXIT } from './exitCodes.js'

/** Time for one call to an instance. A confirmation takes a few seconds when a store answer is lost. */
const CALL_TIMEOUT_MS = 20_000

/** Failures of the connection's opening, after which no instance can have seen the request. */
const NEVER_SENT: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT'])

/** Options of `OperatorClient`. @internal */
export interface OperatorClientOptions {
  /** Operator listeners in the order in which they are tried. */
  urls: readonly string[]
  token: string
  /** Receives a note when an instance does not answer and the next one is tried. */
  onFailover?: (message: string) => void
  timeoutMs?: number
}

/** The typed client of one instance. @internal */
export type InstanceClient = TRPCClient<OperatorRouter>

/**
 * Calls the first instance that answers, in the given order. Trying the next instance is safe for every call:
 * a second plan changes nothing, and a confirmation is recognised by its change id.
 * @internal
 */
export class OperatorClient {
  private readonly clients: ReadonlyArray<readonly [string, InstanceClient]>
  private readonly timeoutMs: number
  private readonly onNote: (message: string) => void

  constructor ({ urls, token, onFailover: onNote = () => {}, timeoutMs = CALL_TIMEOUT_MS }: OperatorClientOptions) {
    const headers = { authorization: `Bearer ${token}` }
    this.clients = urls.map(url => [url, createTRPCClient<OperatorRouter>({ links: [httpLink({ url: `${url.replace(/\/+$/, '')}/trpc`, headers })] })])
    this.timeoutMs = timeoutMs
    this.onNote = onNote
  }

  /**
   * Makes a call; fails when no instance answers or the call is refused. A call that changes something and whose
   * answer was lost fails with `EXIT.unknown`, because an instance may have carried it out.
   */
  async call<Value> (send: (client: InstanceClient, signal: AbortSignal) => Promise<Value>, { hasEffect = false } = {}): Promise<Value> {
    const problems: string[] = []
    let mayHaveRun = false
    for (const [url, client] of this.clients) {
      try {
        return await send(client, AbortSignal.timeout(this.timeoutMs))
      } catch (error) {
        const problem = judgeError(error, url)
        if (problem instanceof CommandError) throw problem
        problems.push(`${url}: ${problem}`)
        if (hasEffect && !NEVER_SENT.has(problem)) mayHaveRun = true
        this.onNote(`${url} does not answer (${problem})`)
      }
    }
    const summary = `no instance answers: ${problems.join('; ')}`
    if (mayHaveRun) throw new CommandError(EXIT.unknown, `the change may have taken effect; ${summary}`)
    throw new CommandError(EXIT.unavailable, `${summary}; nothing changed`)
  }
}

/** Returns a failure that no other instance would resolve, or else why this instance did not answer. */
function judgeError (error: unknown, url: string): CommandError | string {
  if (!(error instanceof TRPCClientError)) return reasonOf(error)
  const response = (error.meta as { response?: { status?: number } } | undefined)?.response
  const status = response?.status
  if (status === undefined || status >= 500) return reasonOf(error)
  if (status === 401) return new CommandError(EXIT.unauthorised, `${url} refuses the credential`)
  if (status === 413) return new CommandError(EXIT.invalid, 'the request exceeds the size that an instance accepts')
  return new CommandError(EXIT.invalid, `${url} refuses the request: ${readableIssues(error.message)}`)
}

/** Turns the list of issues that a validator put into the message into one line. */
function readableIssues (message: string): string {
  try {
    const issues = JSON.parse(message) as Array<{ path?: unknown[], message?: string }>
    return issues.map(({ path = [], message: text }) => `${path.join('.')}: ${text}`).join('; ')
  } catch {
    return message
  }
}

function reasonOf (error: unknown): string {
  const { message, cause } = error as { message: string, cause?: { code?: string, cause?: { code?: string } } }
  return cause?.cause?.code ?? cause?.code ?? message
}
