/** Rendezvous hashing: every instance computes the same ranking of candidates for a key, without coordination. */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Hashes a text to 32 bits (FNV-1a with a final mix). @public */
export function hashText (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  }
  return mixBits(hash)
}

/** Weight of a candidate for a key, from the hashes of both. @internal */
export function weightOf (keyHash: number, candidateHash: number): number {
  return mixBits(Math.imul(keyHash, 0x9e3779b1) ^ mixBits(candidateHash ^ 0x5bd1e995))
}

/** Ranks candidates for a key, highest weight first; equal weights are ordered by id. @public */
export function rankByRendezvous<Id extends string> (key: string, candidates: readonly Id[]): Id[] {
  const keyHash = hashText(key)
  const weighted = candidates.map(id => ({ id, weight: weightOf(keyHash, hashText(id)) }))
  weighted.sort((first, second) => second.weight - first.weight || (first.id < second.id ? -1 : 1))
  return weighted.map(({ id }) => id)
}

function mixBits (value: number): number {
  let bits = value
  bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b)
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35)
  return (bits ^ (bits >>> 16)) >>> 0
}
