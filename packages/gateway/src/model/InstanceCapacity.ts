import * as z from 'zod'

/** Validator of capacity records. @public */
export const instanceCapacitySchema = z.object({
  /** Bandwidth of the instance's link. */
  linkMbps: z.number().positive(),
  /** Processor cores that the instance may use, as a multiple of one core. */
  cores: z.number().positive()
})
/** Machine of an instance, by which the store readers are selected. @public */
export type InstanceCapacity = z.infer<typeof instanceCapacitySchema>
