import { createTRPCClient, httpLink, TRPCClientError, type TRPCClient } from '@trpc/client'
import type { OperatorRouter } from '@carobpitch/control'
import { CommandError } from './CommandError.js'
import { EXIT } from './exitCodes.js'

/** Timeout of one call to an instance. A confirmation takes a few seconds when a store response is lost. */
const CALL_TIMEOUT_MS = 20_000

/** Error codes of failed connection attempts, after which no instance can have received the request. */
const NOT_SENT_ERROR_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT'])

/** Options of `OperatorClient`. @internal */
export interface OperatorClientOptions {
  /** Operator listeners in the order in which they are tried. */
  urls: readonly string[]
  token: string
  /** Receives a message when an instance does not respond and the next one is tried. */
  onFailover?: (message: string) => void
  timeoutMs?: number
}

/** The typed client of one instance. @internal */
export type InstanceClient = TRPCClient<OperatorRouter>

/**
 * Calls the first instance that responds, in the given order. Every call can be retried at the next instance:
 * a second plan changes nothing, and a repeated confirmation is recognised by its change id.
 * @internal
 */
export class OperatorClient {
  private readonly clients: ReadonlyArray<readonly [string, InstanceClient]>
  private readonly timeoutMs: number
  private readonly onFailover: (message: string) => void

  constructor ({ urls, token, onFailover = () => {}, timeoutMs = CALL_TIMEOUT_MS }: OperatorClientOptions) {
    const headers = { authorization: `Bearer ${token}` }
    this.clients = urls.map(url => [url, createTRPCClient<OperatorRouter>({ links: [httpLink({ url: `${url.replace(/\/+$/, '')}/trpc`, headers })] })])
    this.timeoutMs = timeoutMs
    this.onFailover = onFailover
  }

  /**
   * Sends a call. Throws `CommandError` when no instance responds or the call is refused. A call with an effect whose
   * response is lost fails with `EXIT.unknown`, because an instance may have executed it.
   */
  async call<Value> (send: (client: InstanceClient, signal: AbortSignal) => Promise<Value>, { hasEffect = false } = {}): Promise<Value> {
    const problems: string[] = []
    let mayHaveRun = false
    for (const [url, client] of this.clients) {
      try {
        return await send(client, AbortSignal.timeout(this.timeoutMs))
      } catch (error) {
        const problem = classifyError(error, url)
        if (problem instanceof CommandError) throw problem
        problems.push(`${url}: ${problem}`)
        if (hasEffect && !NOT_SENT_ERROR_CODES.has(problem)) mayHaveRun = true
        this.onFailover(`${url} does not answer (${problem})`)
      }
    }
    const summary = `no instance answers: ${problems.join('; ')}`
    if (mayHaveRun) throw new CommandError(EXIT.unknown, `the change may have taken effect; ${summary}`)
    throw new CommandError(EXIT.unavailable, `${summary}; nothing changed`)
  }
}

/** Returns an error that a retry at another instance would not resolve, or else the reason why this instance did not respond. */
function classifyError (error: unknown, url: string): CommandError | string {
  if (!(error instanceof TRPCClientError)) return reasonOf(error)
  const response = (error.meta as { response?: { status?: number } } | undefined)?.response
  const status = response?.status
  if (status === undefined || status >= 500) return reasonOf(error)
  if (status === 401) return new CommandError(EXIT.unauthorised, `${url} refuses the credential`)
  if (status === 413) return new CommandError(EXIT.invalid, 'the request exceeds the size that an instance accepts')
  return new CommandError(EXIT.invalid, `${url} refuses the request: ${formatIssues(error.message)}`)
}

/** Formats a message that holds a JSON list of validation issues as one line. */
function formatIssues (message: string): string {
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
