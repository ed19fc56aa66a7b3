import { rankByRendezvous } from '@carobpitch/routing'
import type { InstanceId } from '@carobpitch/schema'

const READERS_MIN = 3
const READER_KEY = 'store-reader'

/** Number of members that read the store. Grows with the square root of the member count. @public */
export function storeReaderCount (memberCount: number): number {
  return Math.min(memberCount, Math.max(READERS_MIN, Math.ceil(Math.sqrt(memberCount))))
}

/**
 * Chooses the members that read the store by rendezvous hashing. Instances with the same view choose the same readers,
 * and a member that joins or leaves changes at most one reader besides itself.
 * @public
 */
export function chooseStoreReaders (members: readonly InstanceId[]): InstanceId[] {
  return rankByRendezvous(READER_KEY, members).slice(0, storeReaderCount(members.length))
}
