import { createHash } from 'node:crypto'
import type { FrontSettings, SettingsStatus } from '@carobpitch/gateway'

/** Settings that are read at each use, so that a change takes effect at once. All others are fixed at the start of the process. */
const LIVE: ReadonlySet<keyof FrontSettings> = new Set(['bodyMemoryBytes', 'seedPeerUrls', 'leaseMinMs', 'stopGraceMs', 'directoryTtlMaxMs', 'probesPerTargetAndS', 'retryLimits', 'allowanceLimits'])
/** Settings that differ between the instances of a fleet. */
const OWN: ReadonlySet<keyof FrontSettings> = new Set([
  'instanceId', 'failureDomain', 'capacity', 'bodyMemoryBytes', 'callerListen', 'readinessListen', 'directoryListen', 'peerListen', 'metricsListen', 'seedPeerUrls'
])
const DIGEST_LENGTH = 12

/**
 * Options of `LiveSettings`.
 * @public
 */
export interface LiveSettingsOptions {
  /** Settings at the start of the process. */
  initial: FrontSettings
}

/**
 * Names of the settings that a changed file has changed.
 * @public
 */
export interface SettingsChange {
  /** In force from now on. */
  changed: string[]
  /** In force from the next start on. */
  needsRestart: string[]
}

/**
 * The settings in force. A changed file takes effect at one moment, for all settings that can change while the process runs.
 * @public
 */
export class LiveSettings {
  private settings: FrontSettings
  private adoptedAtEpochMs = Date.now()
  private needsRestart: string[] = []

  constructor ({ initial }: LiveSettingsOptions) {
    this.settings = initial
  }

  /** The settings in force. Keep no copy, because they change. */
  current (): FrontSettings {
    return this.settings
  }

  /** Applies the settings of a changed file. */
  adopt (next: FrontSettings): SettingsChange {
    const names = (Object.keys(next) as Array<keyof FrontSettings>).filter(name => JSON.stringify(next[name]) !== JSON.stringify(this.settings[name]))
    const changed = names.filter(name => LIVE.has(name))
    this.needsRestart = names.filter(name => !LIVE.has(name))
    if (changed.length > 0) {
      this.settings = { ...this.settings, ...Object.fromEntries(changed.map(name => [name, next[name]])) }
      this.adoptedAtEpochMs = Date.now()
    }
    return { changed, needsRestart: this.needsRestart }
  }

  /** Which settings are in force here, in a form that can be compared between instances. */
  status (): SettingsStatus {
    const { adoptedAtEpochMs, needsRestart } = this
    return { digest: digestOf(this.shared()), adoptedAtEpochMs, needsRestart }
  }

  dump (): unknown {
    return { ...this.status(), shared: this.shared() }
  }

  /** The settings in force that all instances of a fleet share. */
  private shared (): Partial<FrontSettings> {
    return Object.fromEntries(Object.entries(this.settings).filter(([name]) => !OWN.has(name as keyof FrontSettings)).sort(([first], [second]) => first < second ? -1 : 1))
  }
}

function digestOf (value: unknown): string {
  return createHash('sha256').update(JSON.stringify(value)).digest('hex').slice(0, DIGEST_LENGTH)
}
