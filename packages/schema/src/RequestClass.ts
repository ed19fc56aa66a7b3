import * as z from 'zod'

/** Validator of request classes, most urgent first. @public */
export const requestClassSchema = z.enum(['booking', 'stock', 'ledger'])

/** Priority class of a request. Under overload, bookings precede stock checks, which precede ledgers. @public */
export type RequestClass = z.infer<typeof requestClassSchema>

/** Request classes, most urgent first. @public */
export const REQUEST_CLASSES: readonly RequestClass[] = requestClassSchema.options
