/** Configurations for tests. */
import { configurationSchema, type Configuration } from '@carobpitch/schema'

/** Options of `makeConfiguration`. @internal */
export interface ConfigurationSize {
  revision?: number
  services?: string[]
  failureDomains?: string[]
  /** Number of targets per service and failure domain. */
  targetsEach?: number
}

/** Creates a configuration whose targets are named `<service>-<failure domain>-<number>` and have three slots. @internal */
export function makeConfiguration ({ revision = 1, services = ['menzaiko', 'chumon'], failureDomains = ['fukuoka', 'kumamoto'], targetsEach = 2 }: ConfigurationSize = {}): Configuration {
  const targets: Record<string, unknown> = {}
  for (const service of services) {
    for (const failureDomain of failureDomains) {
      for (let index = 1; index <= targetsEach; index += 1) {
        const port = 9_000 + Object.keys(targets).length
        targets[`${service}-${failureDomain}-${index}`] = { service, failureDomain, url: `http://127.0.0.1:${port}`, slots: 3 }
      }
    }
  }
  return configurationSchema.parse({
    revision,
    services: Object.fromEntries(services.map(name => [name, {}])),
    failureDomains: Object.fromEntries(failureDomains.map(id => [id, {}])),
    targets
  })
}
