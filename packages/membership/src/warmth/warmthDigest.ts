/** Digests by which two instances find the warmth records in which they differ, without exchanging all of them. */
import type { TargetId, WarmthRecord } from '@carobpitch/schema'

/** With 910 targets a bucket has about 28 records, all of which are sent if its digest differs. @internal */
export const WARMTH_BUCKETS = 32

/** 32-bit FNV-1a hash. */
function hash (text: string): number {
  let value = 0x811c9dc5
  for (let index = 0; index < text.length; index += 1) value = Math.imul(value ^ text.charCodeAt(index), 0x01000193)
  return value >>> 0
}

/** Returns the bucket of a target, from 0 to `WARMTH_BUCKETS - 1`. @internal */
export function bucketOf (targetId: TargetId): number {
  return hash(targetId) % WARMTH_BUCKETS
}

/** Returns the digest of each bucket. It does not depend on the order of the records. @internal */
export function bucketDigests (records: Iterable<WarmthRecord>): number[] {
  const digests = new Array<number>(WARMTH_BUCKETS).fill(0)
  for (const { targetId, broughtInRevision, coldTurns, state } of records) {
    const bucket = bucketOf(targetId)
    digests[bucket] = ((digests[bucket] as number) + hash(`${targetId} ${broughtInRevision} ${coldTurns} ${state}`)) >>> 0
  }
  return digests
}

/** Combines the bucket digests into one, which pings carry. @internal */
export function overallDigest (digests: readonly number[]): number {
  return hash(digests.join(' '))
}

/** Returns the buckets whose digests differ between two instances. @internal */
export function differingBuckets (own: readonly number[], other: readonly number[]): number[] {
  return own.map((_, bucket) => bucket).filter(bucket => own[bucket] !== other[bucket])
}
