import type { InstanceId, MemberRecord } from '@carobpitch/schema'
import type { Announcement } from './Announcement.js'
import type { ControlPeers } from './ControlPeers.js'

/** Result of announcing a change. @internal */
export type AnnounceResult =
  | { kind: 'majority', acknowledged: number, needed: number }
  | { kind: 'no-majority', acknowledged: number, needed: number, missing: InstanceId[] }
  | { kind: 'outdated', adoptedRevision: number }

/** Options of `announceToMajority`. @internal */
export interface AnnounceOptions {
  announcement: Announcement
  instanceId: InstanceId
  /** Known members, including this instance. */
  members: readonly MemberRecord[]
  peers: ControlPeers
}

/**
 * Announces a change to all known members. Resolves as soon as more than half of them, including this instance, have
 * acknowledged it, a member reports a newer revision, or every call has succeeded or failed.
 * @internal
 */
export async function announceToMajority ({ announcement, instanceId, members, peers }: AnnounceOptions): Promise<AnnounceResult> {
  const others = members.filter(member => member.instanceId !== instanceId)
  const needed = Math.floor((others.length + 1) / 2) + 1
  const missing = new Set(others.map(member => member.instanceId))
  let acknowledged = 1
  if (acknowledged >= needed) return { kind: 'majority', acknowledged, needed }
  return await new Promise(resolve => {
    let outstanding = others.length
    for (const member of others) {
      peers.announce(member, announcement).then(response => {
        outstanding -= 1
        if (response.isOk && response.value.kind === 'outdated') resolve({ kind: 'outdated', adoptedRevision: response.value.adoptedRevision })
        if (response.isOk && response.value.kind === 'acknowledged') {
          acknowledged += 1
          missing.delete(member.instanceId)
        }
        if (acknowledged >= needed) resolve({ kind: 'majority', acknowledged, needed })
        else if (outstanding === 0) resolve({ kind: 'no-majority', acknowledged, needed, missing: [...missing] })
      })
    }
  })
}
