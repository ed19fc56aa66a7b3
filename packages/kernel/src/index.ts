export { EventLog, formatFields, type EventLogOptions, type LogFields } from './EventLog.js'
export { Kernel, type ServiceMap } from './Kernel.js'
export { type Service } from './Service.js'
