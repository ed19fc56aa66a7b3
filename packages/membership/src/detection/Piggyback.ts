import type { MemberRecord } from '@carobpitch/schema'

/**
 * A small value that each ping carries in both directions.
 * @public
 */
export interface Piggyback {
  /** Returns the value to send, or `undefined` to send nothing. */
  provide(): unknown
  /** Receives the value of another member. Must validate it. */
  receive(from: MemberRecord, value: unknown): void
}

/**
 * The values that other services add to pings, by name.
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

  /** Passes received values to their receivers. Unknown names come from another version and are ignored. */
  receive (from: MemberRecord, values: Record<string, unknown>): void {
    for (const [name, value] of Object.entries(values)) this.piggybacks.get(name)?.receive(from, value)
  }

  names (): string[] {
    return [...this.piggybacks.keys()]
  }
}
