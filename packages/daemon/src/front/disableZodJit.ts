/**
 * Switches zod's compiled validators off. A start validates each kind of record a few times, for which compiling costs
 * more than it saves. Must be imported before any schema is made.
 */
import * as z from 'zod'

z.config({ jitless: true })
