/** Branded identifiers. Each has a validator, so that external input is checked once and its type then proves it valid. */
import * as z from 'zod'

const ID_PATTERN = /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/
const ID_RULE = 'must start with a letter or digit and consist of at most 63 letters, digits, ".", "_" or "-"'

/** Validator of instance ids. @public */
export const instanceIdSchema = z.string().regex(ID_PATTERN, ID_RULE).brand<'InstanceId'>()
/** Identifies one instance of the load balancer. @public */
export type InstanceId = z.infer<typeof instanceIdSchema>

/** Validator of target ids. @public */
export const targetIdSchema = z.string().regex(ID_PATTERN, ID_RULE).brand<'TargetId'>()
/** Identifies one target (a back end). @public */
export type TargetId = z.infer<typeof targetIdSchema>

/** Validator of service names. @public */
export const serviceNameSchema = z.string().regex(ID_PATTERN, ID_RULE).brand<'ServiceName'>()
/** Names a service. @public */
export type ServiceName = z.infer<typeof serviceNameSchema>

/** Validator of failure domain ids. @public */
export const failureDomainIdSchema = z.string().regex(ID_PATTERN, ID_RULE).brand<'FailureDomainId'>()
/** Identifies a failure domain. @public */
export type FailureDomainId = z.infer<typeof failureDomainIdSchema>

/** Validator of tenant ids. @public */
export const tenantIdSchema = z.string().regex(ID_PATTERN, ID_RULE).brand<'TenantId'>()
/** Identifies a tenant that shares a service. @public */
export type TenantId = z.infer<typeof tenantIdSchema>

/** Validator of change ids. @public */
export const changeIdSchema = z.string().regex(ID_PATTERN, ID_RULE).brand<'ChangeId'>()
/** Identifies a configuration change, from plan to adoption. @public */
export type ChangeId = z.infer<typeof changeIdSchema>

/** Validator of the names of client accounts. @public */
export const accountNameSchema = z.string().regex(ID_PATTERN, ID_RULE).brand<'AccountName'>()
/** Names a client account of the operators' configuration. @public */
export type AccountName = z.infer<typeof accountNameSchema>

/** Validator of target versions. @public */
export const targetVersionSchema = z.string().regex(ID_PATTERN, ID_RULE).brand<'TargetVersion'>()
/** Version of the software that a target runs. @public */
export type TargetVersion = z.infer<typeof targetVersionSchema>
