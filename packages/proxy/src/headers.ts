/** Names of the headers between callers and carobpitch. */

/** Service that the request is for. @public */
export const SERVICE_HEADER = 'carobpitch-service'
/** Tenant on whose behalf the request is made. @public */
export const TENANT_HEADER = 'carobpitch-tenant'
/** Request class; defaults to the service's class. @public */
export const CLASS_HEADER = 'carobpitch-class'
/** Time left until the caller's deadline, in milliseconds. @public */
export const DEADLINE_HEADER = 'carobpitch-deadline-ms'
/** Id of the request, passed on from caller to target. @public */
export const REQUEST_ID_HEADER = 'carobpitch-request-id'
/** Marks a request that is already a retry and must not be retried again. @public */
export const RETRY_HEADER = 'carobpitch-retry'
/** In responses: whether the request was answered, may have run or was not run. @public */
export const VERDICT_HEADER = 'carobpitch-verdict'
/** Why a request was refused or failed, in responses. @public */
export const REASON_HEADER = 'carobpitch-reason'
/** Instance that served the request, in responses. @public */
export const INSTANCE_HEADER = 'carobpitch-instance'
/** Target that served the request, in responses. @public */
export const TARGET_HEADER = 'carobpitch-target'
/** Number of attempts made, in responses. @public */
export const ATTEMPTS_HEADER = 'carobpitch-attempts'
/** Load that a target reports with a response: the number of its requests in progress or queued. @public */
export const LOAD_HEADER = 'carobpitch-load'
