import type { IncomingMessage, ServerResponse } from 'node:http'
import type { EventLog } from '@carobpitch/kernel'
import type { CallerConnection, DeadlineTimer } from '@carobpitch/proxy'
import type { AllowanceGate } from '../accounts/AllowanceGate.js'
import type { Dispatcher } from '../dispatch/Dispatcher.js'
import type { WeightedRoundRobin } from '../model/WeightedRoundRobin.js'
import type { RolloutManager } from '../rollout/RolloutManager.js'
import type { GatewayTarget } from '../targets/GatewayTarget.js'
import type { ResponseObserver } from '../targets/observeResponse.js'
import type { TargetProtocol } from '../targets/TargetProtocol.js'
import type { BodyMemory } from './BodyMemory.js'
import type { CallerProtocol } from './CallerProtocol.js'
import type { FrontMetrics } from './FrontMetrics.js'
import type { RoutingState } from './RoutingHolder.js'

/**
 * Dependencies that all exchanges of an instance share.
 * @internal
 */
export interface FrontExchangeContext {
  routing: () => RoutingState | undefined
  /** Waits for the first configuration. */
  waitForRouting: (waitMs: number) => Promise<RoutingState | undefined>
  roundRobin: WeightedRoundRobin
  dispatcher: Dispatcher
  /** Gives requests their versions and follows the attempts during roll-outs. */
  rollouts: Pick<RolloutManager, 'choose' | 'begin' | 'permits'>
  allowances: AllowanceGate
  isEligible: (target: GatewayTarget) => boolean
  observer: ResponseObserver
  callerProtocol: CallerProtocol
  targetProtocol: TargetProtocol
  timer: DeadlineTimer
  bodyMemory: BodyMemory
  metrics: FrontMetrics
  log: EventLog
  /** Time until this process exits; `undefined` unless it is shutting down. */
  endsInMs: () => number | undefined
}

/**
 * Options of `FrontExchange`.
 * @internal
 */
export interface FrontExchangeOptions {
  context: FrontExchangeContext
  connection: CallerConnection
  request: IncomingMessage
  response: ServerResponse
  /** Called when the response has been sent or the connection has closed. */
  onClosed: () => void
}
