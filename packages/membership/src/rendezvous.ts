/** Rendezvous (highest random weight) hashing: every instance with the same view makes the same choice without a message. */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Returns the 32-bit weight of a candidate for a key. */
function weightOf (key: string, candidate: string): number {
  const text = `${key}\n${candidate}`
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  }
  // FNV alone leaves ids that differ in the last letter close together; the final mix spreads them.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/**
 * Orders candidates by their weight for a key, highest first. Ties are ordered by name.
 * @internal
 */
export function rankByRendezvous<Candidate extends string> (key: string, candidates: readonly Candidate[]): Candidate[] {
  return candidates
    .map(candidate => ({ candidate, weight: weightOf(key, candidate) }))
    .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
    .map(({ candidate }) => candidate)
}
