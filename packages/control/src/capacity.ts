import type {
  Configuration, DomainCapacity, ServiceImpact, ServiceLoad, ServiceName, TargetConfiguration, TargetId
} from '@carobpitch/schema'
import { isTargetIn, getOwnValue } from './ConfigurationDraft.js'

/** Options of `serviceImpacts`. @internal */
export interface ImpactOptions {
  before: Configuration
  after: Configuration
  /** Current load of each service for which it is known. */
  loads: readonly ServiceLoad[]
}

/** Returns the impact of a change on each service that it affects. @internal */
export function serviceImpacts ({ before, after, loads }: ImpactOptions): ServiceImpact[] {
  const [targetsBefore, targetsAfter] = [groupActiveTargets(before), groupActiveTargets(after)]
  const impacts: ServiceImpact[] = []
  for (const [service, changes] of describeChanges(before, after)) {
    const [old, next] = [targetsBefore.get(service) ?? [], targetsAfter.get(service) ?? []]
    impacts.push({
      service,
      changes,
      slotsBefore: countSlots(old),
      slotsAfter: countSlots(next),
      warmSlotsAfter: countWarmSlots(next, after),
      domains: domainCapacities(old, next),
      load: loads.find(load => load.service === service)
    })
  }
  return impacts
}

function countSlots (targets: readonly TargetConfiguration[]): number {
  return sum(targets.map(({ slots }) => slots))
}

/** Counts the slots usable right after the change: a target that it brings in counts only its cold allowance. */
function countWarmSlots (targets: readonly TargetConfiguration[], { revision, services }: Configuration): number {
  return sum(targets.map(({ service, slots, broughtInRevision }) => {
    if (broughtInRevision < revision) return slots
    return Math.min(slots, getOwnValue(services, service)?.coldAllowance ?? 0)
  }))
}

function domainCapacities (before: readonly TargetConfiguration[], after: readonly TargetConfiguration[]): DomainCapacity[] {
  const ids = [...new Set([...before, ...after].map(target => target.failureDomain))].sort()
  return ids.map(failureDomain => ({
    failureDomain,
    slotsBefore: countSlots(before.filter(target => target.failureDomain === failureDomain)),
    slotsAfter: countSlots(after.filter(target => target.failureDomain === failureDomain))
  }))
}

/** Describes the differences between two documents by service, sorted by name; unchanged services are absent. @internal */
export function describeChanges (before: Configuration, after: Configuration): Map<ServiceName, string[]> {
  const names = [...new Set([...Object.keys(before.services), ...Object.keys(after.services)])].sort() as ServiceName[]
  const changes = new Map(names.map(service => [service, describeServiceChange(service, before, after)]))
  const ids = [...new Set([...Object.keys(before.targets), ...Object.keys(after.targets)])].sort() as TargetId[]
  for (const id of ids) {
    const [old, next] = [getOwnValue(before.targets, id), getOwnValue(after.targets, id)]
    const lines = describeTargetChange(id, old, next, before, after)
    for (const service of new Set([old?.service, next?.service])) {
      if (service !== undefined) changes.get(service)?.push(...lines)
    }
  }
  return new Map([...changes].filter(([, lines]) => lines.length > 0))
}

function describeServiceChange (service: ServiceName, before: Configuration, after: Configuration): string[] {
  const [old, next] = [getOwnValue(before.services, service), getOwnValue(after.services, service)]
  if (old === undefined) return ['service added']
  if (next === undefined) return ['service removed']
  return describeFields(old, next)
}

function describeTargetChange (
  id: TargetId, old: TargetConfiguration | undefined, next: TargetConfiguration | undefined, before: Configuration, after: Configuration
): string[] {
  if (next === undefined) return [`${id} removed`]
  if (old === undefined) return [`${id} added${isTargetIn(after, next) ? ', starts cold' : ', out'}`]
  const { state: _oldState, broughtInRevision: _oldEpoch, ...oldFields } = old
  const { state: _nextState, broughtInRevision: _nextEpoch, ...nextFields } = next
  const changes = describeFields(oldFields, nextFields).map(change => `${id}: ${change}`)
  const [wasIn, isIn] = [isTargetIn(before, old), isTargetIn(after, next)]
  if (wasIn && !isIn) changes.push(`${id} goes out`)
  if (!wasIn && isIn) changes.push(`${id} comes in, starts cold`)
  if (wasIn === isIn && old.state !== next.state) changes.push(`${id} state ${old.state} → ${next.state}`)
  return changes
}

/** Describes the fields that differ between two records. @internal */
export function describeFields (old: object, next: object): string[] {
  const before = old as Record<string, unknown>
  return Object.entries(next)
    .filter(([name, value]) => !isSame(before[name], value))
    .map(([name, value]) => `${name} ${JSON.stringify(before[name])} → ${JSON.stringify(value)}`)
}

/** Compares by identity first, because most fields are primitive and need no serialization. */
function isSame (old: unknown, next: unknown): boolean {
  if (old === next) return true
  return typeof old === 'object' && JSON.stringify(old) === JSON.stringify(next)
}

function groupActiveTargets (configuration: Configuration): Map<ServiceName, TargetConfiguration[]> {
  const targets = new Map<ServiceName, TargetConfiguration[]>()
  for (const target of Object.values(configuration.targets)) {
    if (!isTargetIn(configuration, target)) continue
    const list = targets.get(target.service)
    if (list === undefined) targets.set(target.service, [target])
    else list.push(target)
  }
  return targets
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
