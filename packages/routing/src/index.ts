export * from './TargetView.js'
export * from './RoutingPolicy.js'
export * from './Scheduler.js'
