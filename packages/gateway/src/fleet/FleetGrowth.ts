/**
 * Growth of fleet counters as this instance has seen it. The first sight of an older row isn't growth, a dropped row takes none away.
 * @public
 */
export interface FleetGrowth {
  /** Growth of the sum of a counter since this instance started. */
  growth (name: string): number
}
