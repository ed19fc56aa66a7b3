import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream } from 'node:fs'
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import type { Settings } from '@carobpitch/schema'
import type { PlannedStop } from '../checks/Evidence.js'

const DAEMON_MAIN = fileURLToPath(new URL('../../../daemon/dist/main.js', import.meta.url))
const START_TIMEOUT_MS = 15_000
const POLL_INTERVAL_MS = 20

/**
 * One `carobpitchd` process that a test can start, freeze, kill and stop.
 * @internal
 */
export class InstanceProcess {
  readonly settings: Settings
  private readonly directory: string
  private child: ChildProcess | undefined

  constructor (settings: Settings, directory: string) {
    this.settings = settings
    this.directory = directory
  }

  /** Base URL for callers. */
  callerUrl (): string {
    return `http://${this.settings.caller.host}:${this.settings.caller.port}`
  }

  /** Base URL for operators. */
  operatorUrl (): string {
    return `http://${this.settings.operator.host}:${this.settings.operator.port}`
  }

  /** Path of the log file, to which every run of the process appends. */
  logFile (): string {
    return join(this.directory, `${this.settings.instanceId}.log`)
  }

  /** Starts the process and waits until it is healthy. */
  async start (): Promise<void> {
    const settingsFile = join(this.directory, `${this.settings.instanceId}.json`)
    await writeFile(settingsFile, JSON.stringify(this.settings))
    const child = spawn(process.execPath, [DAEMON_MAIN, '--settings', settingsFile], { stdio: ['ignore', 'ignore', 'pipe'] })
    child.stderr?.pipe(createWriteStream(this.logFile(), { flags: 'a' }))
    this.child = child
    const deadlineAtMs = performance.now() + START_TIMEOUT_MS
    while (performance.now() < deadlineAtMs && child.exitCode === null) {
      if (await fetch(`${this.operatorUrl()}/healthz`).then(response => response.ok, () => false)) return
      await delay(POLL_INTERVAL_MS)
    }
    throw new Error(`${this.settings.instanceId} did not start, see ${this.logFile()}`)
  }

  /** Id of the process, or 0 if none was started. */
  pid (): number {
    return this.child?.pid ?? 0
  }

  /** Kills the process without a planned stop and waits for its exit. */
  async kill (): Promise<void> {
    if (!this.isRunning()) return
    const ended = once(this.child as ChildProcess, 'exit')
    this.child?.kill('SIGKILL')
    await ended
  }

  /** Suspends the process by SIGSTOP. */
  freeze (): void {
    this.child?.kill('SIGSTOP')
  }

  /** Resumes a frozen process by SIGCONT. */
  resume (): void {
    this.child?.kill('SIGCONT')
  }

  /** Requests a planned stop by SIGTERM and waits for the exit. */
  async stop (): Promise<PlannedStop> {
    const ended = once(this.child as ChildProcess, 'exit')
    const fromEpochMs = Date.now()
    this.child?.kill('SIGTERM')
    await ended
    return { instanceUrl: this.callerUrl(), fromEpochMs, untilEpochMs: Date.now() }
  }

  /** Whether the process was started and has not exited; true for a frozen process. */
  isRunning (): boolean {
    return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
  }
}
