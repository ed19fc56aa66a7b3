import { Registry as MetricsRegistry } from 'prom-client'
import { EventLog, Kernel } from '@carobpitch/kernel'
import { ConfigurationHolder, type Credentials, type Settings } from '@carobpitch/schema'
import { EtcdStore } from '@carobpitch/store'

/**
 * Dependencies that the services of a daemon share.
 * @internal
 */
export interface DaemonContext {
  settings: Settings
  credentials: Credentials
  kernel: Kernel
  log: EventLog
  configuration: ConfigurationHolder
  store: EtcdStore
  metrics: MetricsRegistry
}

/** Creates the context of a daemon. @internal */
export function createContext (settings: Settings, credentials: Credentials): DaemonContext {
  return {
    settings,
    credentials,
    kernel: new Kernel(),
    log: new EventLog({ level: settings.logLevel, fields: { instance: settings.instanceId } }),
    configuration: new ConfigurationHolder(),
    store: new EtcdStore(settings.store),
    metrics: new MetricsRegistry()
  }
}
