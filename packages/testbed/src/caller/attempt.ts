import type { Dispatcher } from 'undici'
import { ATTEMPTS_HEADER, CLASS_HEADER, DEADLINE_HEADER, INSTANCE_HEADER, REASON_HEADER, REQUEST_ID_HEADER, RETRY_HEADER, SERVICE_HEADER, TARGET_HEADER, TENANT_HEADER, VERDICT_HEADER } from '@carobpitch/proxy'
import { verdictSchema, type Verdict } from '@carobpitch/schema'
import type { AttemptRecord } from './CallRecord.js'
import { checkContent } from './checkContent.js'

/** Codes of errors that occur before anything is sent. */
const NOTHING_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/**
 * One attempt to make.
 * @internal
 */
export interface AttemptOptions {
  dispatcher: Dispatcher
  instanceUrl: string
  requestId: string
  service: string
  method: string
  path: string
  body: string | undefined
  tenant: string | undefined
  requestClass: string | undefined
  /** Time left until the caller's deadline. */
  deadlineMs: number
  /** Whether an earlier attempt may have run. */
  isRetry: boolean
}

type AttemptResult = Omit<AttemptRecord, 'instanceUrl' | 'startedAtEpochMs' | 'endedAtEpochMs'>

const NO_RESPONSE = { status: undefined, instanceId: undefined, targetId: undefined, contentFault: undefined }

/** Sends a request to one instance and records the outcome. Never throws. @internal */
export async function makeAttempt (options: AttemptOptions): Promise<AttemptRecord> {
  const startedAtEpochMs = Date.now()
  const signal = AbortSignal.timeout(Math.max(1, Math.ceil(options.deadlineMs)))
  const result = await exchange(options, signal).catch(error => toFailedResult(error, signal))
  return { ...result, instanceUrl: options.instanceUrl, startedAtEpochMs, endedAtEpochMs: Date.now() }
}

async function exchange (options: AttemptOptions, signal: AbortSignal): Promise<AttemptResult> {
  const { dispatcher, instanceUrl, method, path, body, requestId } = options
  const response = await dispatcher.request({ origin: instanceUrl, method: method as 'GET', path, body, headers: buildHeaders(options), signal })
  const text = await response.body.text()
  const verdict = parseVerdict(response.headers[VERDICT_HEADER])
  return {
    end: 'complete',
    verdict,
    status: response.statusCode,
    reason: String(response.headers[REASON_HEADER] ?? `attempts=${String(response.headers[ATTEMPTS_HEADER] ?? 1)}`),
    instanceId: headerText(response.headers[INSTANCE_HEADER]),
    targetId: headerText(response.headers[TARGET_HEADER]),
    contentFault: verdict === 'answered' ? checkContent(text, requestId) : undefined
  }
}

function toFailedResult (error: unknown, signal: AbortSignal): AttemptResult {
  const code = (error as { code?: string }).code ?? (error as Error).name
  if (NOTHING_SENT_CODES.has(code)) return { ...NO_RESPONSE, end: 'connect-failed', verdict: 'not-run', reason: code }
  return { ...NO_RESPONSE, end: signal.aborted ? 'timed-out' : 'broken', verdict: 'may-have-run', reason: code }
}

/** Parses the verdict header. Without a valid verdict the request may have run. */
function parseVerdict (header: unknown): Verdict {
  const parsed = verdictSchema.safeParse(header)
  return parsed.success ? parsed.data : 'may-have-run'
}

function headerText (header: string | string[] | undefined): string | undefined {
  return header === undefined ? undefined : String(header)
}

function buildHeaders ({ service, requestId, deadlineMs, tenant, requestClass, isRetry, body }: AttemptOptions): Record<string, string> {
  const headers: Record<string, string> = {
    [SERVICE_HEADER]: service,
    [REQUEST_ID_HEADER]: requestId,
    [DEADLINE_HEADER]: String(Math.max(1, Math.floor(deadlineMs)))
  }
  if (tenant !== undefined) headers[TENANT_HEADER] = tenant
  if (requestClass !== undefined) headers[CLASS_HEADER] = requestClass
  if (isRetry) headers[RETRY_HEADER] = '1'
  if (body !== undefined) headers['content-type'] = 'application/json'
  return headers
}
