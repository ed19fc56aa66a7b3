import type { ClientAccount, RoutingTable } from '@carobpitch/gateway'

/**
 * Returns what differs between the version in force and the next one, one line an entry: `path: before -> after`. Keys of accounts are
 * counted, never shown.
 * @internal
 */
export function diffConfigurations (inForce: RoutingTable, next: RoutingTable): string[] {
  return [
    ...diffEntries('routes', byName(inForce.routes), byName(next.routes)),
    ...diffEntries('services', Object.fromEntries(inForce.services), Object.fromEntries(next.services)),
    ...diffEntries('accounts', accountsOf(inForce), accountsOf(next)),
    ...diffKeys(inForce, next),
    ...diffFields('limits', inForce.callerLimits, next.callerLimits)
  ]
}

function byName<Entry extends { name: string }> (entries: readonly Entry[]): Record<string, Entry> {
  return Object.fromEntries(entries.map(entry => [entry.name, entry]))
}

function accountsOf ({ accounts = [] }: RoutingTable): Record<string, object> {
  return Object.fromEntries(accounts.map(({ name, priority, allowance }) => [name, { priority, ...allowance }]))
}

function diffEntries (kind: string, before: Record<string, object>, after: Record<string, object>): string[] {
  return namesOf(before, after).flatMap(name => {
    const [one, other] = [before[name], after[name]]
    if (one === undefined) return [`${kind}.${name}: added`]
    if (other === undefined) return [`${kind}.${name}: removed`]
    return diffFields(`${kind}.${name}`, one, other)
  })
}

function diffFields (path: string, before: object, after: object): string[] {
  const [one, other] = [before, after] as Array<Record<string, unknown>>
  return namesOf(before, after).map(name => [name, JSON.stringify(one?.[name]) ?? 'none', JSON.stringify(other?.[name]) ?? 'none'])
    .filter(([, first, second]) => first !== second)
    .map(([name, first, second]) => `${path}.${name}: ${first} -> ${second}`)
}

function diffKeys ({ accounts: before = [] }: RoutingTable, { accounts: after = [] }: RoutingTable): string[] {
  const formerKeys = new Map(before.map(({ name, keyDigests }) => [name, keyDigests]))
  return after.flatMap(account => {
    const former = formerKeys.get(account.name)
    return former === undefined ? [] : diffKeysOf(account, former)
  })
}

function diffKeysOf ({ name, keyDigests }: ClientAccount, former: readonly string[]): string[] {
  const added = keyDigests.filter(digest => !former.includes(digest)).length
  const removed = former.filter(digest => !keyDigests.includes(digest)).length
  return added + removed === 0 ? [] : [`accounts.${name}.keys: ${added} added, ${removed} removed`]
}

function namesOf (before: object, after: object): string[] {
  return [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
}
