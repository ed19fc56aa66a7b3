import { Result } from 'true-myth'
import { configurationSchema, EMPTY_CONFIGURATION, type Configuration } from './Configuration.js'
import { parseWith, type Violation } from './parse.js'

/**
 * Why a candidate configuration was not adopted.
 * @public
 */
export type AdoptionRejection =
  | { kind: 'not-newer', adoptedRevision: number, candidateRevision: number }
  | { kind: 'invalid', violations: Violation[] }

/**
 * Provides the configuration that this instance has adopted.
 * @public
 */
export interface ConfigurationSource {
  /** The adopted configuration. */
  current(): Configuration
  /** Calls the listener synchronously after each adoption; returns a function that unsubscribes. */
  onChange(listener: (configuration: Configuration) => void): () => void
}

/**
 * Holds the adopted configuration. Adopts only a valid document with a higher revision,
 * so that a stale read, an old peer or a restart cannot revert a change.
 * @public
 */
export class ConfigurationHolder implements ConfigurationSource {
  private adopted: Configuration = EMPTY_CONFIGURATION
  private readonly listeners = new Set<(configuration: Configuration) => void>()

  current (): Configuration {
    return this.adopted
  }

  onChange (listener: (configuration: Configuration) => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Adopts a candidate if it is valid and newer than the adopted document. */
  adopt (candidate: unknown): Result<Configuration, AdoptionRejection> {
    const parsed = parseWith(configurationSchema, candidate)
    if (parsed.isErr) return Result.err({ kind: 'invalid', violations: parsed.error })
    const configuration = parsed.value
    const adoptedRevision = this.adopted.revision
    if (configuration.revision <= adoptedRevision) {
      return Result.err({ kind: 'not-newer', adoptedRevision, candidateRevision: configuration.revision })
    }
    this.adopted = configuration
    for (const listener of this.listeners) listener(configuration)
    return Result.ok(configuration)
  }
}
