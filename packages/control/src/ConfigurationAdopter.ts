import type { EventLog } from '@carobpitch/kernel'
import type { AdoptionRejection, Configuration, ConfigurationHolder, Violation } from '@carobpitch/schema'
import { decodeDocument, encodeConfiguration } from './configurationCodec.js'

/** Origin of a candidate configuration. @public */
export type AdoptionSource = 'store' | 'watch' | 'push' | 'snapshot' | 'commit'

/** Result of an attempt to adopt a candidate configuration. @public */
export type AdoptionOutcome =
  | { kind: 'adopted', revision: number }
  | { kind: 'not-newer', revision: number, adoptedRevision: number }
  | { kind: 'invalid', violations: Violation[] }

/** Options of `ConfigurationAdopter`. @internal */
export interface ConfigurationAdopterOptions {
  holder: ConfigurationHolder
  log: EventLog
  onOutcome?: (outcome: AdoptionOutcome, source: AdoptionSource) => void
}

interface EncodedConfiguration {
  revision: number
  value: string
}

/**
 * Decodes configurations and passes them to the holder, which adopts only valid documents with a higher revision.
 * Keeps the encoded form of the adopted one, to send it to peers.
 * @internal
 */
export class ConfigurationAdopter {
  private readonly holder: ConfigurationHolder
  private readonly log: EventLog
  private readonly onOutcome: (outcome: AdoptionOutcome, source: AdoptionSource) => void
  private encoded: EncodedConfiguration | undefined
  private lastRejection: { source: AdoptionSource, violations: Violation[] } | undefined

  constructor ({ holder, log, onOutcome = () => {} }: ConfigurationAdopterOptions) {
    this.holder = holder
    this.log = log
    this.onOutcome = onOutcome
  }

  /** The adopted configuration. Its revision is 0 before the first adoption. */
  current (): Configuration {
    return this.holder.current()
  }

  /** Decodes, validates and adopts a candidate if it is newer. */
  tryAdopt (value: string, source: AdoptionSource): AdoptionOutcome {
    const outcome = this.adoptIfNewer(value)
    switch (outcome.kind) {
      case 'adopted':
        this.encoded = { revision: outcome.revision, value }
        this.log.info('configuration.adopted', { revision: outcome.revision, source, changeId: this.current().recentChanges[0]?.changeId })
        break
      case 'not-newer':
        this.log.debug('configuration.not-newer', { revision: outcome.revision, adoptedRevision: outcome.adoptedRevision, source })
        break
      case 'invalid':
        this.recordRejection(outcome.violations, source)
        break
    }
    this.onOutcome(outcome, source)
    return outcome
  }

  /** Encoded form of the adopted configuration; undefined before the first adoption. */
  encodedCurrent (): string | undefined {
    const { revision } = this.current()
    if (revision === 0) return undefined
    if (this.encoded?.revision !== revision) this.encoded = { revision, value: encodeConfiguration(this.current()) }
    return this.encoded.value
  }

  dump (): unknown {
    return { adoptedRevision: this.current().revision, encodedSizeBytes: this.encoded?.value.length, lastRejection: this.lastRejection }
  }

  /** Returns the adopted configuration if `value` is its encoded form, which saves decoding it again. */
  findAdopted (value: string): Configuration | undefined {
    return this.encoded?.value === value && this.encoded.revision === this.current().revision ? this.current() : undefined
  }

  /** Checks the revision before the holder validates the document, because validation is the larger part of the cost. */
  private adoptIfNewer (value: string): AdoptionOutcome {
    const adoptedRevision = this.current().revision
    if (this.findAdopted(value) !== undefined) return { kind: 'not-newer', revision: adoptedRevision, adoptedRevision }
    const decoded = decodeDocument(value)
    if (decoded.isErr) return { kind: 'invalid', violations: decoded.error }
    const revision = readRevision(decoded.value)
    if (revision !== undefined && revision <= adoptedRevision) return { kind: 'not-newer', revision, adoptedRevision }
    const adopted = this.holder.adopt(decoded.value)
    if (adopted.isOk) return { kind: 'adopted', revision: adopted.value.revision }
    return toOutcome(adopted.error)
  }

  /** Logs an invalid document and keeps its violations for the dump. */
  recordRejection (violations: Violation[], source: AdoptionSource): void {
    this.lastRejection = { source, violations }
    const first = violations[0]
    this.log.error('configuration.rejected', { source, violations: violations.length, path: first?.path, message: first?.message })
  }
}

function readRevision (document: unknown): number | undefined {
  const revision = (document as { revision?: unknown } | null)?.revision
  return typeof revision === 'number' ? revision : undefined
}

function toOutcome (rejection: AdoptionRejection): AdoptionOutcome {
  switch (rejection.kind) {
    case 'not-newer': return { kind: 'not-newer', revision: rejection.candidateRevision, adoptedRevision: rejection.adoptedRevision }
    case 'invalid': return { kind: 'invalid', violations: rejection.violations }
  }
}
