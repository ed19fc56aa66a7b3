import { expect } from 'chai'
import { Registry } from 'prom-client'
import type { ServiceName } from '@carobpitch/schema'
import { FrontMetrics } from './FrontMetrics.js'

const STOCK = 'stock' as ServiceName

describe('FrontMetrics', () => {
  it('guards against gauges that show an old state: each scrape reads the current one', async () => {
    const registry = new Registry()
    let waiting = 3
    const metrics = new FrontMetrics(registry, {
      inFlight: () => 7,
      cacheAgeMs: () => 1_500,
      services: () => [{ service: STOCK, waiting, retriesLeft: 2 }],
      routingTable: () => undefined,
      settings: () => ({ digest: 'd1', adoptedAtEpochMs: 1_500, needsRestart: [] }),
      fleet: () => ({ rows: 3, instances: 2, ageMs: 250, exchanges: 9, failures: 1, sentBytes: 640 })
    })
    metrics.recordColdRequest(STOCK)
    const first = await registry.metrics()
    waiting = 0
    const second = await registry.metrics()
    for (const line of ['carobpitch_front_in_flight 7', 'carobpitch_knowledge_age_seconds 1.5', 'carobpitch_front_waiting{service="stock"} 3', 'carobpitch_front_retries_left{service="stock"} 2', 'carobpitch_front_cold_requests_total{service="stock"} 1', 'carobpitch_fleet_age_seconds 0.25', 'carobpitch_fleet_sent_bytes 640']) {
      expect(first).to.contain(line)
    }
    expect(second).to.contain('carobpitch_front_waiting{service="stock"} 0')
  })
})
