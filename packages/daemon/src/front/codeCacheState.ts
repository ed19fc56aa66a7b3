/** Whether the program was loaded with V8's code cache. V8 rejects a cache that other flags or another version wrote. */
export type CodeCacheState = 'used' | 'rejected' | 'missing'

declare global {
  /** Set by the loader before the program runs. */
  var carobpitchCodeCache: CodeCacheState | undefined
}

/** How this process was loaded; `missing` without the loader. */
export function codeCacheState (): CodeCacheState {
  return globalThis.carobpitchCodeCache ?? 'missing'
}
