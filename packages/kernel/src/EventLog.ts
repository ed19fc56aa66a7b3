import type { Writable } from 'node:stream'
import winston from 'winston'
import { formatFields, type LogFields } from './formatFields.js'

/**
 * Options of `EventLog`.
 * @public
 */
export interface EventLogOptions {
  /** Lowest level that is written. */
  level?: 'debug' | 'info' | 'warn' | 'error'
  /** Fields added to every event, such as the instance id. */
  fields?: LogFields
  /** Suppresses all output, for tests. */
  silent?: boolean
  /** Destination of the lines; standard error by default. */
  output?: Writable
}

/**
 * Writes one line of key=value pairs for each event.
 * @public
 */
export class EventLog {
  private readonly logger: winston.Logger
  private readonly fields: LogFields

  constructor ({ level = 'info', fields = {}, silent = false, output }: EventLogOptions = {}) {
    this.fields = fields
    this.logger = winston.createLogger({
      level,
      silent,
      format: winston.format.printf(info => String(info.message)),
      transports: [output === undefined ? new winston.transports.Console({ stderrLevels: ['debug', 'info', 'warn', 'error'] }) : new winston.transports.Stream({ stream: output })]
    })
  }

  /** Logs a normal event. */
  info (event: string, fields: LogFields = {}): void {
    this.write('info', event, fields)
  }

  /** Logs an event that may need an operator's attention. */
  warn (event: string, fields: LogFields = {}): void {
    this.write('warn', event, fields)
  }

  /** Logs a failure of this process. */
  error (event: string, fields: LogFields = {}): void {
    this.write('error', event, fields)
  }

  /** Logs a detail for debugging. */
  debug (event: string, fields: LogFields = {}): void {
    this.write('debug', event, fields)
  }

  private write (level: string, event: string, fields: LogFields): void {
    const head = { time: new Date().toISOString(), level, event }
    this.logger.log(level, formatFields({ ...head, ...this.fields, ...fields }))
  }
}
