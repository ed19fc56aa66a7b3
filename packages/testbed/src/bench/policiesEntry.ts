/** Process of the policy comparison that runs one instance, with a caller listener per variant. */
import { CallerListener } from '@carobpitch/proxy'
import { chooseLeastInFlight, chooseLeastInFlightRandomTies, chooseRandom, chooseTwoChoices, Scheduler, SteeringTable, WarmthTable, type RoutingPolicy } from '@carobpitch/routing'
import { ConfigurationHolder, type InstanceId, type MemberRecord, type MembershipSource, type TargetId } from '@carobpitch/schema'
import type { InstanceCommand, InstanceReady, Variant } from './policiesMessages.js'

const DOMAINS = ['d1', 'd2', 'd3']
const REQUEST_TIMEOUT_MS = 5_000
const LIST_TTL_MS = 1_000

const POLICIES: Record<Variant, RoutingPolicy> = {
  random: chooseRandom,
  'two-choices': chooseTwoChoices,
  'least-in-flight': chooseLeastInFlight,
  'random-ties': chooseLeastInFlightRandomTies,
  steered: chooseLeastInFlight,
  'shared-queue': chooseLeastInFlight
}

const members: Record<string, MemberRecord[]> = {}
const membershipListeners = new Set<() => void>()

process.on('message', async (command: InstanceCommand) => {
  switch (command.kind) {
    case 'start': {
      const ports: Record<string, number> = {}
      for (const variant of command.variants) ports[variant] = await startListener(variant, command.instanceId, command.targetUrls)
      process.send?.({ kind: 'ready', ports } satisfies InstanceReady)
      break
    }
    case 'members':
      Object.assign(members, command.members)
      for (const listener of membershipListeners) listener()
  }
})
process.on('disconnect', () => process.exit(0))

async function startListener (variant: Variant, instanceId: InstanceId, targetUrls: readonly string[]): Promise<number> {
  const configuration = new ConfigurationHolder()
  configuration.adopt(createConfigurationDocument(targetUrls)).unwrapOrElse(refusal => { throw new Error(JSON.stringify(refusal)) })
  const warmth = new WarmthTable({ configuration, holdsClaim: () => false })
  for (const id of Object.keys(configuration.current().targets)) warmth.merge({ targetId: id as TargetId, broughtInRevision: 0, coldTurns: 0, state: 'warm' })
  // No target becomes cold in this benchmark and no claims are held. A declared cold turn is a false positive: it is logged and reverted.
  warmth.onChange(record => {
    if (record.state === 'warm') return
    console.error(`event=false-cold-turn instance=${instanceId} variant=${variant} target=${record.targetId}`)
    setImmediate(() => warmth.merge({ ...record, state: 'warm' }))
  })
  const scheduler = new Scheduler({ configuration, warmth, policy: POLICIES[variant] })
  const membership: MembershipSource = {
    members: () => members[variant] ?? [],
    onChange: listener => {
      membershipListeners.add(listener)
      return () => membershipListeners.delete(listener)
    }
  }
  const steering = new SteeringTable({ configuration, membership, steering: variant === 'steered' })
  const listener = new CallerListener({
    instanceId,
    listen: { host: '127.0.0.1', port: 0 },
    configuration,
    scheduler,
    instancesFor: service => steering.instancesFor(service),
    mayAcceptNewWork: () => true,
    takeRetryToken: service => scheduler.tryTakeRetryToken(service),
    answerTtlMs: LIST_TTL_MS
  })
  await listener.start()
  return listener.port()
}

function createConfigurationDocument (targetUrls: readonly string[]) {
  return {
    revision: 1,
    services: { menzaiko: { requestTimeoutMs: REQUEST_TIMEOUT_MS, queueMax: 2_000, tenantQueueMax: 1_000 } },
    failureDomains: Object.fromEntries(DOMAINS.map(id => [id, {}])),
    targets: Object.fromEntries(targetUrls.map((url, index) => [`t${index + 1}`, { service: 'menzaiko', failureDomain: DOMAINS[index % 3], url, slots: 3 }]))
  }
}
