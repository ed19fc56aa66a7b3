import winston from 'winston'

/**
 * Fields of one log event. Names carry their unit as a suffix.
 * @public
 */
export type LogFields = Record<string, string | number | boolean | undefined>

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
}

/**
 * Writes one line of key=value pairs for each event to standard error.
 * @public
 */
export class EventLog {
  private readonly logger: winston.Logger
  private readonly fields: LogFields

  constructor ({ level = 'info', fields = {}, silent = false }: EventLogOptions = {}) {
    this.fields = fields
    this.logger = winston.createLogger({
      level,
      silent,
      format: winston.format.printf(info => String(info.message)),
      transports: [new winston.transports.Console({ stderrLevels: ['debug', 'info', 'warn', 'error'] })]
    })
  }

  /** Logs a normal event. */
  info (event: string, fields: LogFields = {}): void {
    this.write('info', event, fields)
  }

  /** Logs an event that an operator may want to look at. */
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

/**
 * Formats fields as space-separated key=value pairs; values with spaces, quotes or line breaks are JSON-quoted.
 * @public
 */
export function formatFields (fields: LogFields): string {
  const pairs: string[] = []
  for (const [key, value] of Object.entries(fields)) {
    if (value === undefined) continue
    const text = String(value)
    pairs.push(`${key}=${/^[^\s"=]+$/.test(text) ? text : JSON.stringify(text)}`)
  }
  return pairs.join(' ')
}
