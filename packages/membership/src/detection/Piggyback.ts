import type { MemberRecord } from '@carobpitch/schema'

/**
 * A small value carried on each ping in both directions.
 * @public
 */
export interface Piggyback {
  /** Value to send; `undefined` sends nothing. */
  provide(): unknown
  /** Takes the value of another member. Must check its form. */
  receive(from: MemberRecord, value: unknown): void
}

/**
 * The values that other parts carry on pings, by name.
 * @internal
 */
export class PiggybackSet {
  private readonly piggybacks = new Map<string, Piggyback>()

  add (name: string, piggyback: Piggyback): void {
    this.piggybacks.set(name, piggyback)
  }

  /** Collects the values to send. */
  collect (): Record<string, unknown> {
    const values: Record<string, unknown> = {}
    for (const [name, piggyback] of this.piggybacks) {
      const value = piggyback.provide()
      if (value !== undefined) values[name] = value
    }
    return values
  }

  /** Passes received values on; those of unknown names come from another version and are ignored. */
  receive (from: MemberRecord, values: Record<string, unknown>): void {
    for (const [name, value] of Object.entries(values)) this.piggybacks.get(name)?.receive(from, value)
  }

  names (): string[] {
    return [...this.piggybacks.keys()]
  }
}
