import type { ScheduleRequest } from '@carobpitch/routing'
import type { RequestClass, ServiceName, TargetId, TenantId } from '@carobpitch/schema'
import type { CallerRequest } from './parseCallerRequest.js'

/**
 * A request as it is passed to the scheduler. The abort signal is created lazily,
 * because most requests get a target immediately and never need one.
 * @internal
 */
export class QueuedRequest implements ScheduleRequest {
  readonly service: ServiceName
  readonly tenant: TenantId
  readonly requestClass: RequestClass
  readonly deadlineAtMs: number
  readonly exclude: ReadonlySet<TargetId>
  private controller: AbortController | undefined
  private isAborted = false

  constructor ({ service, tenant, requestClass }: CallerRequest, deadlineAtMs: number, exclude: ReadonlySet<TargetId>) {
    this.service = service
    this.tenant = tenant
    this.requestClass = requestClass
    this.deadlineAtMs = deadlineAtMs
    this.exclude = exclude
  }

  get signal (): AbortSignal {
    if (this.controller === undefined) {
      this.controller = new AbortController()
      if (this.isAborted) this.controller.abort()
    }
    return this.controller.signal
  }

  /** Notifies the scheduler that the request no longer needs a target. */
  abort (): void {
    this.isAborted = true
    this.controller?.abort()
  }
}
