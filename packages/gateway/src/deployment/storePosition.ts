/**
 * Positions in the history of a store that may come back from an older copy. Such a store gives out its revisions again, so a revision
 * alone doesn't tell which of two changes is newer. A position joins the era of the store, which rises with each return, and the revision
 * within it; positions are compared as plain numbers. In the first era of a store that has never come back they equal its revisions.
 */

/** Revisions per era. Both the largest revision of an era and more than 8,000 eras fit into a safe integer. */
const REVISIONS_PER_ERA = 2 ** 40

/** Position of a revision. @public */
export function positionOf (era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision
}

/** Era of the store in which a position was given out. @public */
export function eraOf (position: number): number {
  return Math.floor(position / REVISIONS_PER_ERA)
}

/** Revision of a position within its era. @public */
export function revisionIn (position: number): number {
  return position % REVISIONS_PER_ERA
}
