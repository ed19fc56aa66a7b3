/**
 * Counters that all instances add to and that each instance reads as a sum. Counters only grow; an instance that restarts begins at 0 in
 * a row of its own, so that a row merged twice or late changes nothing.
 * @public
 */
export interface FleetCounters {
  /** Adds to this instance's part of a counter. */
  add (name: string, amount: number): void
  /** Sum over this instance and the rows that are known of the others. */
  total (name: string): number
  /** Growth per second of the sum over the last seconds; 0 for an unknown counter. */
  ratePerS (name: string): number
  /** Time since the rows of the other instances were last refreshed; infinite before the first time. */
  ageMs (): number
  /** Number of instances whose rows were refreshed recently, this one included. */
  instanceCount (): number
  /** Calls the listener after each refresh; returns a function that unsubscribes. */
  onRefresh (listener: () => void): () => void
}
