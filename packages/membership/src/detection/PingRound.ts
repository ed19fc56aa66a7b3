import type { InstanceId, MemberRecord } from '@carobpitch/schema'
import { shuffle, type RandomSource } from '../random.js'
import type { MemberTable } from './MemberTable.js'

/** One ping out of this many goes to a dead member, so that both sides detect the end of a partition. */
const PINGS_PER_DEAD_MEMBER_PING = 3

/**
 * Chooses the member to ping next. Each live member is pinged once per round, in random order,
 * which bounds the time until a failure is detected.
 * @internal
 */
export class PingRound {
  private readonly table: MemberTable
  private readonly random: RandomSource
  private round: InstanceId[] = []
  private count = 0

  constructor (table: MemberTable, random: RandomSource) {
    this.table = table
    this.random = random
  }

  /** Returns the next member, or `undefined` when there is no other one. */
  next (): MemberRecord | undefined {
    this.count += 1
    const dead = this.table.withStatus('dead')
    const live = this.others()
    if (dead.length > 0 && (this.count % PINGS_PER_DEAD_MEMBER_PING === 0 || live.length === 0)) {
      return dead[Math.floor(this.random() * dead.length)]
    }
    const next = this.takeLive()
    if (next !== undefined) return next
    this.round = shuffle(live.map(({ instanceId }) => instanceId), this.random)
    return this.takeLive()
  }

  /** Takes the next member of the round that is still live. */
  private takeLive (): MemberRecord | undefined {
    for (let id = this.round.pop(); id !== undefined; id = this.round.pop()) {
      const entry = this.table.get(id)
      if (entry?.status === 'alive' || entry?.status === 'suspect') return entry.record
    }
    return undefined
  }

  private others (): MemberRecord[] {
    const ownId = this.table.self().instanceId
    return this.table.withStatus('alive', 'suspect').filter(({ instanceId }) => instanceId !== ownId)
  }
}
