import type { Command } from 'commander'
import { CommandError } from './CommandError.js'
import { EXIT, type ExitCode } from './exitCodes.js'
import { OperatorClient } from './OperatorClient.js'
import { readCredential } from './readCredential.js'

/** Environment variable that names instances, separated by commas. @public */
export const INSTANCE_VARIABLE = 'CAROBPITCH_INSTANCE'

/** Where the tool writes. @public */
export interface ToolOutput {
  /** Writes a result. */
  out(text: string): void
  /** Writes progress and errors. */
  err(text: string): void
}

/** Options of `ToolContext`. @internal */
export interface ToolContextOptions {
  program: Command
  output: ToolOutput
  environment: Readonly<Record<string, string | undefined>>
  /** Instances to use instead of those that the operator named. */
  urls?: readonly string[]
}

interface GlobalOptions {
  instance?: string[]
  tokenFile?: string
  json?: boolean
}

/**
 * Client, output and exit code of a command.
 * @internal
 */
export class ToolContext {
  exitCode: ExitCode = EXIT.ok
  readonly output: ToolOutput
  private readonly options: ToolContextOptions
  private cachedClient: OperatorClient | undefined

  constructor (options: ToolContextOptions) {
    this.options = options
    this.output = options.output
  }

  /** Client of the instances that the operator named. */
  client (): OperatorClient {
    this.cachedClient ??= new OperatorClient({
      urls: this.instanceUrls(),
      token: readCredential({ tokenFile: this.globalOptions().tokenFile, environment: this.options.environment }),
      onFailover: message => this.printNotice(message)
    })
    return this.cachedClient
  }

  /** Returns a context for other instances with its own output and exit code. */
  forInstances (urls: readonly string[], output: ToolOutput): ToolContext {
    return new ToolContext({ ...this.options, urls, output })
  }

  /** Whether results are printed as JSON. */
  isJson (): boolean {
    return this.globalOptions().json === true
  }

  /** Prints a result, as `answer` in JSON or else as `text`, and sets the exit code. */
  report (answer: unknown, text: string, exitCode: ExitCode = EXIT.ok): void {
    this.output.out(this.isJson() ? JSON.stringify(answer, null, 2) : text)
    this.exitCode = exitCode
  }

  /** Prints progress to the error output, separate from the result. */
  printNotice (message: string): void {
    this.output.err(message)
  }

  private globalOptions (): GlobalOptions {
    return this.options.program.opts<GlobalOptions>()
  }

  private instanceUrls (): readonly string[] {
    const named = this.globalOptions().instance ?? []
    const fromEnvironment = (this.options.environment[INSTANCE_VARIABLE] ?? '').split(',').map(url => url.trim()).filter(url => url !== '')
    const urls = this.options.urls ?? (named.length > 0 ? named : fromEnvironment)
    if (urls.length === 0) throw new CommandError(EXIT.invalid, `name an instance with --instance or ${INSTANCE_VARIABLE}`)
    for (const url of urls) {
      if (!URL.canParse(url) || !/^https?:$/.test(new URL(url).protocol)) throw new CommandError(EXIT.invalid, `--instance ${url}: must be http://<host>:<port>`)
    }
    return urls
  }
}
