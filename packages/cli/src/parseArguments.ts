import { InvalidArgumentError } from 'commander'
import { changeIdSchema, parseWith, type ChangeId } from '@carobpitch/schema'
import type { Region } from './applyDeclaration.js'

/** Parses a change id from the command line. @internal */
export function parseChangeId (text: string): ChangeId {
  const parsed = parseWith(changeIdSchema, text)
  if (parsed.isErr) throw new InvalidArgumentError(parsed.error.map(({ message }) => message).join('; '))
  return parsed.value
}

/** Parses a number of seconds and returns milliseconds. @internal */
export function parseSeconds (text: string): number {
  const seconds = Number(text)
  if (text.trim() === '' || !(seconds >= 0 && seconds <= 3_600)) throw new InvalidArgumentError('must be a number of seconds from 0 to 3600')
  return seconds * 1_000
}

/** Parses an integer. @internal */
export function parseInteger (text: string): number {
  if (!/^-?\d+$/.test(text)) throw new InvalidArgumentError('must be an integer')
  return Number(text)
}

/** Collects the values of an option that can be given several times. @internal */
export function collectValues (value: string, values: string[] = []): string[] {
  return [...values, value]
}

/** Collects regions, each a name and the URLs of its instances. @internal */
export function collectRegion (text: string, regions: Region[] = []): Region[] {
  const [, name, urls] = /^([\w.-]+)=(.+)$/.exec(text) ?? []
  if (name === undefined || urls === undefined) throw new InvalidArgumentError('must be <name>=<url>,<url>')
  if (regions.some(region => region.name === name)) throw new InvalidArgumentError(`region ${name} is named twice`)
  return [...regions, { name, urls: urls.split(',') }]
}

/** Collects `field=value` pairs. A value that is valid JSON is parsed, any other is a string. @internal */
export function collectField (pair: string, fields: Record<string, unknown>): Record<string, unknown> {
  const [, name, text] = /^([A-Za-z]+)=(.*)$/s.exec(pair) ?? []
  if (name === undefined || text === undefined) throw new InvalidArgumentError('must be <field>=<value>')
  return { ...fields, [name]: parseValue(text) }
}

function parseValue (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
