import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { expandDeployment, type ExpandedDeployment } from './expandDeployment.js'
import { readDeploymentFile } from './readDeploymentFile.js'

function expand (name: string, instances: number): ExpandedDeployment {
  const path = fileURLToPath(new URL(`../../../../deployments/${name}.json`, import.meta.url))
  return expandDeployment(readDeploymentFile(path), { instances, credentialsFile: 'credentials.json' })
}

describe('deployment files', () => {
  const sizes: Record<string, Record<string, number>> = {
    hakata: { menzaiko: 10, chumon: 6, 'haiso-rireki': 8 },
    gangasagar: { 'route-stock': 15, 'order-desk': 7, 'ledger-hub': 12 }
  }
  for (const [name, services] of Object.entries(sizes)) {
    it(`${name} has the services and targets of section 1.2 of the design`, () => {
      const counts: Record<string, number> = {}
      for (const { service } of Object.values(expand(name, 6).configuration.targets)) counts[service] = (counts[service] ?? 0) + 1
      expect(counts).to.deep.equal(services)
    })

    it(`${name} assigns no port twice with 17 instances, guarding against processes that cannot listen`, () => {
      const { instances, targets, controlPorts, storePort, instanceListPort } = expand(name, 17)
      const ports = [
        storePort, instanceListPort, ...Object.values(controlPorts), ...targets.map(target => target.port),
        ...instances.flatMap(({ caller, peer, operator }) => [caller.port, peer.port, operator.port])
      ]
      expect(new Set(ports).size).to.equal(ports.length)
    })

    it(`${name} places each service and the instances in every failure domain`, () => {
      const { configuration, instances, targets } = expand(name, 6)
      const domains = Object.keys(configuration.failureDomains).sort()
      for (const service of Object.keys(services)) {
        const used = targets.filter(({ targetId }) => targetId.startsWith(`${service}-`)).map(target => target.failureDomain)
        expect([...new Set(used)].sort()).to.deep.equal(domains)
      }
      expect([...new Set(instances.map(instance => instance.failureDomain))].sort()).to.deep.equal(domains)
    })
  }
})
