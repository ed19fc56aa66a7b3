/** Replaces the global FormData in the bundle, so that a check for it does not make Node load its own copy of undici. */
export class FormData {}
