/**
 * Disables zod's compiled validators. A start validates each kind of record only a few times, so compiling costs more
 * than it saves. Must be imported before any schema is created.
 */
import * as z from 'zod'

z.config({ jitless: true })
