import { readFile } from 'node:fs/promises'
import { Result } from 'true-myth'
import type { Kernel } from '@carobpitch/kernel'
import { PlannedStop, type StopReport } from '@carobpitch/membership'
import { credentialsSchema, parseJsonWith, type Credentials, type Settings, type Violation } from '@carobpitch/schema'
import { createContext, type DaemonContext } from './DaemonContext.js'
import { registerControl, registerOperatorListener } from './registerControl.js'
import { registerMembership } from './registerMembership.js'
import { registerMetrics } from './registerMetrics.js'
import { registerCallerListener, registerScheduler } from './registerDataPlane.js'
import { ReadinessGate } from './ReadinessGate.js'

declare module '@carobpitch/kernel' {
  interface ServiceMap {
    'start-gate': ReadinessGate
    'planned-stop': PlannedStop
  }
}

/**
 * One `carobpitchd` process: the services of an instance, in the order in which they start.
 * @public
 */
export class Daemon {
  private readonly context: DaemonContext

  constructor (settings: Settings, credentials: Credentials) {
    this.context = createContext(settings, credentials)
    registerMembership(this.context)
    registerControl(this.context)
    registerScheduler(this.context)
    registerOperatorListener(this.context)
    registerReadinessGate(this.context)
    registerCallerListener(this.context)
    registerPlannedStop(this.context)
    registerMetrics(this.context)
  }

  /** The services of this process by name. */
  get kernel (): Kernel {
    return this.context.kernel
  }

  /** Starts all services, then marks this instance as serving. Rejects when a listener's address is in use. */
  async start (): Promise<void> {
    await this.kernel.start()
    this.kernel.get('start-gate').markServing()
  }

  /**
   * Planned stop: serves until no caller uses this instance any more, then stops all services.
   * A second call ends the wait early. The report says what was cut off.
   */
  async stopGracefully (): Promise<StopReport> {
    const report = await this.kernel.get('planned-stop').run()
    await this.stop()
    return report
  }

  /** Logs the error that ends this process. */
  logFatalError (error: Error): void {
    this.context.log.error('process.failed', { reason: error.message, stack: error.stack })
  }

  /** Stops all services immediately. */
  async stop (): Promise<void> {
    await this.kernel.stop()
    await this.context.store.close()
  }
}

/** Reads the credentials file. @public */
export async function readCredentials (path: string): Promise<Result<Credentials, Violation[]>> {
  let text: string
  try {
    text = await readFile(path, 'utf8')
  } catch (error) {
    return Result.err([{ path: '', message: (error as Error).message }])
  }
  return parseJsonWith(credentialsSchema, text)
}

function registerReadinessGate ({ kernel, log }: DaemonContext): void {
  const control = kernel.get('control')
  const freshness = kernel.get('freshness')
  kernel.register('start-gate', new ReadinessGate({
    isReady: () => control.hasConfiguration() && freshness.mayAcceptNewWork(),
    membership: kernel.get('membership'),
    log
  }))
}

function registerPlannedStop ({ settings, kernel, log }: DaemonContext): void {
  kernel.register('planned-stop', new PlannedStop({
    membership: kernel.get('membership'),
    claims: kernel.get('claims'),
    lease: kernel.get('lease'),
    proxy: kernel.get('caller-listener'),
    answerTtlMs: settings.answerTtlMs,
    stopLimitMs: settings.stopLimitMs,
    log
  }))
}
