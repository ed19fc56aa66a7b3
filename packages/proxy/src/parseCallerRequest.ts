import type { IncomingHttpHeaders } from 'node:http'
import { Result } from 'true-myth'
import { requestClassSchema, type Configuration, type RequestClass, type ServiceConfiguration, type ServiceName, type TenantId } from '@carobpitch/schema'
import { haveValidNames } from './haveValidNames.js'
import { CLASS_HEADER, DEADLINE_HEADER, REQUEST_ID_HEADER, RETRY_HEADER, SERVICE_HEADER, TENANT_HEADER } from './headers.js'
import type { Reason } from './Reason.js'

/** Longest deadline that a caller may set; equals the longest request timeout of a service. */
const DEADLINE_MAX_MS = 600_000
/** Maximum length of a request id, so that ids fit into logs and the request records of targets. */
const REQUEST_ID_LENGTH_MAX = 200
const DEFAULT_TENANT = 'default'
const TENANT_PATTERN = /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/
const DEADLINE_PATTERN = /^\d{1,6}$/
const ABSOLUTE_FORM_PATTERN = /^https?:\/\/[^/?#]+/i

/**
 * The fields of a caller's request head that parsing needs, a subset of `IncomingMessage`.
 * @internal
 */
export interface RequestHead {
  method?: string | undefined
  url?: string | undefined
  httpVersionMinor: number
  headers: IncomingHttpHeaders
  rawHeaders: readonly string[]
}

/**
 * A caller's request head after validation.
 * @internal
 */
export interface CallerRequest {
  service: ServiceName
  serviceConfiguration: ServiceConfiguration
  method: string
  /** Path and query in origin form. */
  path: string
  tenant: TenantId
  requestClass: RequestClass
  /** Time for the whole request: the caller's deadline, bounded by the service's request timeout. */
  timeoutMs: number
  /** The caller's request id, if it sent one. */
  requestId: string | undefined
  /** Whether the request may be resent after an attempt that may have run. */
  isIdempotent: boolean
  /** Whether the caller marked the request as a retry. */
  isRetry: boolean
  hasBody: boolean
  /** Length of the body; `undefined` for a chunked body. */
  bodyLengthBytes: number | undefined
}

/** Checks the head of a caller's request against the configuration. Errors name the reason for a 4xx response. @internal */
export function parseCallerRequest (head: RequestHead, configuration: Configuration, bodySizeMaxBytes: number): Result<CallerRequest, Reason> {
  const { headers } = head
  const method = head.method ?? ''
  if (!haveValidNames(head.rawHeaders)) return Result.err('malformed-request')
  if (method === 'CONNECT' || method === 'TRACE') return Result.err('method-not-forwarded')
  if (!hasValidHost(head)) return Result.err('invalid-host')
  const path = originFormOf(head.url ?? '')
  if (path === undefined) return Result.err('invalid-request-target')

  const service = headers[SERVICE_HEADER]
  if (service === undefined) return Result.err('missing-service')
  const serviceConfiguration = findService(configuration, service as string)
  if (serviceConfiguration === undefined) return Result.err('unknown-service')
  const tenant = headers[TENANT_HEADER] ?? DEFAULT_TENANT
  if (!TENANT_PATTERN.test(tenant as string)) return Result.err('invalid-tenant')
  const requestClass = requestClassOf(headers[CLASS_HEADER], serviceConfiguration)
  if (requestClass === undefined) return Result.err('unknown-class')
  const timeoutMs = timeoutOf(headers[DEADLINE_HEADER], serviceConfiguration)
  if (timeoutMs === undefined) return Result.err('invalid-deadline')
  const requestId = headers[REQUEST_ID_HEADER] as string | undefined
  if (requestId !== undefined && (requestId.length === 0 || requestId.length > REQUEST_ID_LENGTH_MAX)) return Result.err('invalid-request-id')

  const bodyLengthBytes = headers['content-length'] === undefined ? undefined : Number(headers['content-length'])
  if (bodyLengthBytes !== undefined && bodyLengthBytes > bodySizeMaxBytes) return Result.err('body-too-large')
  return Result.ok({
    service: service as ServiceName,
    serviceConfiguration,
    method,
    path,
    tenant: tenant as TenantId,
    requestClass,
    timeoutMs,
    requestId,
    isIdempotent: serviceConfiguration.idempotentMethods.includes(method),
    isRetry: headers[RETRY_HEADER] !== undefined,
    hasBody: headers['transfer-encoding'] !== undefined || (bodyLengthBytes ?? 0) > 0,
    bodyLengthBytes
  })
}

/** HTTP/1.1 requires exactly one `host` header; with a second one, two servers can interpret a request differently. */
function hasValidHost ({ headers, rawHeaders, httpVersionMinor }: RequestHead): boolean {
  if (headers.host === undefined) return httpVersionMinor === 0
  let count = 0
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string
    if (name.length === 4 && name.toLowerCase() === 'host') count += 1
  }
  return count === 1
}

function originFormOf (url: string): string | undefined {
  if (url.startsWith('/')) return url
  const authority = ABSOLUTE_FORM_PATTERN.exec(url)?.[0]
  if (authority === undefined) return undefined
  const rest = url.slice(authority.length)
  return rest.startsWith('/') ? rest : `/${rest}`
}

/** `Object.hasOwn` keeps names such as `constructor` from matching inherited properties. */
function findService ({ services }: Configuration, name: string): ServiceConfiguration | undefined {
  return Object.hasOwn(services, name) ? services[name as ServiceName] : undefined
}

function requestClassOf (header: string | string[] | undefined, service: ServiceConfiguration): RequestClass | undefined {
  if (header === undefined) return service.requestClass
  return requestClassSchema.options.find(known => known === header)
}

function timeoutOf (header: string | string[] | undefined, { requestTimeoutMs }: ServiceConfiguration): number | undefined {
  if (header === undefined) return requestTimeoutMs
  if (!DEADLINE_PATTERN.test(header as string)) return undefined
  const deadlineMs = Number(header)
  if (deadlineMs < 1 || deadlineMs > DEADLINE_MAX_MS) return undefined
  return Math.min(deadlineMs, requestTimeoutMs)
}
