import { Result } from 'true-myth'
import { EMPTY_CONFIGURATION, type Configuration, type Violation } from '@carobpitch/schema'
import type { KeyValueStore, RevisionReader, StoreFailure, StoredValue, CompareAndSwapOutcome } from '@carobpitch/store'
import { decodeConfiguration } from './configurationCodec.js'

/** Reason why the stored configuration could not be read. @internal */
export type StoredConfigurationFailure =
  | { kind: 'store-unavailable', reason: string }
  | { kind: 'invalid-document', violations: Violation[] }

/** The stored configuration with its store revision. @internal */
export interface StoredConfiguration {
  configuration: Configuration
  /** Encoded form; undefined when the key is absent. */
  value: string | undefined
  modRevision: number
}

/** A store that may support reading a key's revision without its value. @public */
export type ControlStore = KeyValueStore & Partial<RevisionReader>

/** Options of `ConfigurationStore`. @internal */
export interface ConfigurationStoreOptions {
  store: ControlStore
  key: string
  /** Returns the configuration for an encoded value that has already been decoded and validated. */
  findDecoded?: (value: string) => Configuration | undefined
}

/**
 * Reads and writes the configuration key. An absent key means the empty configuration.
 * @internal
 */
export class ConfigurationStore {
  private readonly store: ControlStore
  readonly key: string
  private readonly findDecoded: (value: string) => Configuration | undefined
  private lastDecoded: StoredConfiguration | undefined
  private lastInvalid: { modRevision: number, violations: Violation[] } | undefined

  constructor ({ store, key, findDecoded = () => undefined }: ConfigurationStoreOptions) {
    this.store = store
    this.key = key
    this.findDecoded = findDecoded
  }

  /** Reads the key. A value whose store revision equals that of the last decoded one is not decoded again. */
  async read (): Promise<Result<StoredConfiguration, StoredConfigurationFailure>> {
    const stored = await this.store.get(this.key)
    if (stored.isErr) return Result.err({ kind: 'store-unavailable', reason: stored.error.reason })
    return this.decode(stored.value)
  }

  /** Reads the key for a periodic check. If the store supports it, only the revision is read while it is unchanged. */
  async readIfChanged (): Promise<Result<StoredConfiguration, StoredConfigurationFailure>> {
    const last = this.lastDecoded
    if (last === undefined || this.store.getModRevision === undefined) return await this.read()
    const modRevision = await this.store.getModRevision(this.key)
    if (modRevision.isErr) return Result.err({ kind: 'store-unavailable', reason: modRevision.error.reason })
    return modRevision.value === last.modRevision ? Result.ok(last) : await this.read()
  }

  /** Decodes a value that a read, a watch or a conflicting write returned. */
  decode (stored: StoredValue | undefined): Result<StoredConfiguration, StoredConfigurationFailure> {
    if (stored === undefined) return Result.ok({ configuration: EMPTY_CONFIGURATION, value: undefined, modRevision: 0 })
    if (this.lastDecoded?.modRevision === stored.modRevision) return Result.ok(this.lastDecoded)
    if (this.lastInvalid?.modRevision === stored.modRevision) return Result.err({ kind: 'invalid-document', violations: this.lastInvalid.violations })
    const cached = this.findDecoded(stored.value)
    const decoded: Result<Configuration, Violation[]> = cached === undefined ? decodeConfiguration(stored.value) : Result.ok(cached)
    if (decoded.isErr) {
      this.lastInvalid = { modRevision: stored.modRevision, violations: decoded.error }
      return Result.err({ kind: 'invalid-document', violations: decoded.error })
    }
    this.lastDecoded = { configuration: decoded.value, value: stored.value, modRevision: stored.modRevision }
    return Result.ok(this.lastDecoded)
  }

  /** Writes the key if its store revision equals the expected one. */
  async compareAndSwap (value: string, expectedModRevision: number): Promise<Result<CompareAndSwapOutcome, StoreFailure>> {
    return await this.store.compareAndSwap({ key: this.key, value, expectedModRevision })
  }
}
