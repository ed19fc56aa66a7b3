import type { ConfigurationSource, InstanceId, MemberRecord, MembershipSource, ServiceName } from '@carobpitch/schema'
import { addressList } from './addressList.js'
import { steer } from './steer.js'

/**
 * Options of `SteeringTable`.
 * @public
 */
export interface SteeringTableOptions {
  configuration: ConfigurationSource
  membership: MembershipSource
  /** Whether lists contain a few instances per service; otherwise they contain all. */
  steering?: boolean
  /** Returns a number in [0, 1); gives each instance its own first rotation. */
  random?: () => number
}

/**
 * Caches the steering for the current membership view and returns a rotated address list for each response.
 * @public
 */
export class SteeringTable {
  private readonly options: SteeringTableOptions
  private readonly firstRotation: number
  private readonly rotations = new Map<ServiceName, number>()
  private steered: Map<ServiceName, InstanceId[]> | undefined

  constructor (options: SteeringTableOptions) {
    this.options = options
    this.firstRotation = Math.floor((options.random ?? Math.random)() * 1_000)
    options.configuration.onChange(() => { this.steered = undefined })
    options.membership.onChange(() => { this.steered = undefined })
  }

  /** Returns the addresses for one response, in the order in which the caller should try them. */
  instancesFor (service: ServiceName): readonly MemberRecord[] {
    const rotation = this.rotations.get(service) ?? this.firstRotation
    this.rotations.set(service, rotation + 1)
    const members = this.options.membership.members()
    return addressList({ service, members, steered: this.steeredFor(service), rotation })
  }

  /** Instances that callers of a service are steered to; all members if steering is off. */
  steeredTo (service: ServiceName): readonly InstanceId[] {
    return this.steeredFor(service) ?? this.options.membership.members().map(({ instanceId }) => instanceId)
  }

  /** Returns the steered instances by service. */
  dump (): unknown {
    return { steered: Object.fromEntries(this.current()) }
  }

  private steeredFor (service: ServiceName): readonly InstanceId[] | undefined {
    if (this.options.steering === false) return undefined
    return this.current().get(service) ?? []
  }

  private current (): Map<ServiceName, InstanceId[]> {
    const { configuration, membership } = this.options
    this.steered ??= steer({ members: membership.members(), services: configuration.current().services })
    return this.steered
  }
}
