/** Behaviour of a stand-in target. Every field can be changed while the target runs. */
import * as z from 'zod'

/**
 * Points of an exchange at which a stand-in target cuts the connection.
 * The points up to `request-body` come before the run, the others after it.
 * @public
 */
export const cutPointSchema = z.enum([
  'accept', 'request-head', 'request-body',
  'run', 'response-status-line', 'response-head', 'response-body', 'before-last-byte'
])
/** Point of an exchange at which the connection is cut. @public */
export type CutPoint = z.infer<typeof cutPointSchema>

/** Validator of a target's behaviour. @public */
export const targetBehaviourSchema = z.strictObject({
  /** Number of requests processed concurrently; further requests are queued in order of arrival. */
  slots: z.int().min(1),
  /** Mean service time of a warm target without slowdown. */
  serviceTimeMs: z.number().min(0),
  serviceTimeSpread: z.enum(['constant', 'exponential']),
  /** Multiplies service times; a straggling target has a value above 1. */
  slowdown: z.number().min(1),
  /** Time for which one probe occupies a slot. */
  probeTimeMs: z.number().min(0),
  /** Path on which requests count as probes. */
  probePath: z.string(),
  /** Whether probes report the actual state or a constant one. */
  probeReport: z.enum(['true', 'always-up', 'always-down']),
  /** Multiplies service times while the target is cold. */
  coldSlowdown: z.number().min(1),
  /** Number of requests that a target accepts when it becomes cold, including queued ones. */
  coldAllowance: z.int().min(1),
  /** Number of completed runs after which the allowance of a cold target rises by one. */
  coldRunsPerStep: z.int().min(1),
  /** Time for which a cold target runs nothing after it has received more than its allowance. */
  fallenOverMs: z.number().min(0),
  /** Still serves requests, but announces that it is draining. */
  draining: z.boolean(),
  /** Refuses all new requests with this status and runs none of them. */
  refuseStatus: z.int().min(400).max(599).optional(),
  /** Responds with 500 immediately. Such a request counts as run. */
  failFast: z.boolean(),
  /** Delay between the end of a run and its response. */
  answerDelayMs: z.number().min(0),
  /** Number of next responses that carry another request's id. */
  mismatchedResponses: z.int().min(0),
  /** Number of next responses that are followed by a second, unsolicited response. */
  surplusResponses: z.int().min(0),
  /** Number of next responses that have neither a content length nor chunked encoding, so that their end cannot be determined. */
  unframedResponses: z.int().min(0),
  /** Closes the connections of the next `count` requests at `point`. */
  cut: z.strictObject({ point: cutPointSchema, count: z.int().min(0) }).optional(),
  /** Size of the padding in response bodies. */
  paddingBytes: z.int().min(0),
  /** How responses report the load: the actual one, none, an earlier one or a constant. */
  loadReport: z.discriminatedUnion('kind', [
    z.strictObject({ kind: z.literal('true') }),
    z.strictObject({ kind: z.literal('none') }),
    z.strictObject({ kind: z.literal('lagging'), byMs: z.number().min(0) }),
    z.strictObject({ kind: z.literal('fixed'), load: z.int().min(0) })
  ]),
  /** Stops a run when its connection closes. */
  honoursCancellation: z.boolean(),
  /** Refuses or stops a request whose deadline has passed. */
  honoursDeadline: z.boolean()
})
/** Behaviour of a stand-in target. @public */
export type TargetBehaviour = z.infer<typeof targetBehaviourSchema>

/** Behaviour of a target without faults. @public */
export const DEFAULT_BEHAVIOUR: TargetBehaviour = {
  slots: 3,
  serviceTimeMs: 10,
  serviceTimeSpread: 'constant',
  slowdown: 1,
  probeTimeMs: 6,
  probePath: '/health',
  probeReport: 'true',
  coldSlowdown: 3,
  coldAllowance: 1,
  coldRunsPerStep: 10,
  fallenOverMs: 1_000,
  draining: false,
  refuseStatus: undefined,
  failFast: false,
  answerDelayMs: 0,
  mismatchedResponses: 0,
  surplusResponses: 0,
  unframedResponses: 0,
  cut: undefined,
  paddingBytes: 0,
  loadReport: { kind: 'true' },
  honoursCancellation: true,
  honoursDeadline: true
}
