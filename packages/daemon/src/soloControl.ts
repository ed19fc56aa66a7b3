import { Result } from 'true-myth'
import { ControlService, type ControlMembership, type ControlPeers, type PeerFailure } from '@carobpitch/control'
import type { EventLog } from '@carobpitch/kernel'
import type { ConfigurationHolder, MembershipSource, Settings } from '@carobpitch/schema'
import type { KeyValueStore } from '@carobpitch/store'
import type { Registry } from 'prom-client'

/** Options of `createSoloControl`. @internal */
export interface SoloControlOptions {
  settings: Settings
  store: KeyValueStore
  holder: ConfigurationHolder
  membership: MembershipSource
  log: EventLog
  registry: Registry
}

/** Builds the control service of an instance that has no peers yet. @internal */
export function createSoloControl ({ settings, store, holder, membership, log, registry }: SoloControlOptions): ControlService {
  const known: ControlMembership = {
    members: () => membership.members(),
    knownMembers: () => membership.members(),
    onChange: listener => membership.onChange(listener),
    isStoreReader: () => true,
    addPiggyback: () => {}
  }
  return new ControlService({
    deployment: settings.deployment,
    instanceId: settings.instanceId,
    store,
    holder,
    membership: known,
    peers: NO_PEERS,
    freshness: { noteStoreRead: () => {}, mayAcceptNewWork: () => true },
    log,
    registry
  })
}

async function noPeer<Value> (): Promise<Result<Value, PeerFailure>> {
  return Result.err({ reason: 'this instance has no peers' })
}

const NO_PEERS: ControlPeers = { announce: noPeer, abort: noPeer, pushConfiguration: noPeer, snapshot: noPeer, load: noPeer }
