import { expect } from 'chai'
import { Registry } from 'prom-client'
import type { ServiceName } from '@carobpitch/schema'
import { ProxyMetrics } from './ProxyMetrics.js'
import { ProxyRig } from './testing/ProxyRig.js'
import { RawTarget, rawResponse } from './testing/RawTarget.js'

const SERVICE = 'chumon' as ServiceName

describe('ProxyMetrics', () => {
  it('counts requests by service, verdict and reason, and reports the same totals at each scrape', async () => {
    const registry = new Registry()
    const metrics = new ProxyMetrics(registry, () => 7)
    metrics.countOutcome(SERVICE, 'answered', undefined)
    metrics.countOutcome(SERVICE, 'answered', undefined)
    metrics.countOutcome(SERVICE, 'not-run', 'queue-full')
    metrics.countOutcome(undefined, 'not-run', 'malformed-request')
    metrics.countAttempt(false)
    metrics.countAttempt(true)
    metrics.observeAddedLatency(0.5)
    await registry.metrics()
    const text = await registry.metrics()
    expect(text).to.contain('carobpitch_requests_total{service="chumon",verdict="answered",reason="complete"} 2\n')
    expect(text).to.contain('carobpitch_requests_total{service="chumon",verdict="not-run",reason="queue-full"} 1\n')
    expect(text).to.contain('carobpitch_requests_total{service="none",verdict="not-run",reason="malformed-request"} 1\n')
    expect(text).to.contain('carobpitch_attempts_total 2\n')
    expect(text).to.contain('carobpitch_resends_total 1\n')
    expect(text).to.contain('carobpitch_requests_in_flight 7\n')
    expect(text).to.contain('carobpitch_added_latency_seconds_bucket{le="0.00063"} 1\n')
  })

  it('counts the requests of a listener, including messages that cannot be parsed', async () => {
    const target = new RawTarget(({ socket }) => socket.write(rawResponse('')))
    await target.start()
    const rig = await ProxyRig.start({ targetUrls: [target.url()] })
    await rig.call()
    await rig.connect().send('GARBAGE\r\n\r\n').untilClosed()
    const text = await rig.listener.registry.metrics()
    expect(text).to.contain('carobpitch_requests_total{service="chumon",verdict="answered",reason="complete"} 1\n')
    expect(text).to.contain('carobpitch_requests_total{service="none",verdict="not-run",reason="malformed-request"} 1\n')
    expect(text).to.contain('carobpitch_added_latency_seconds_count 1\n')
    await rig.stop()
    await target.stop()
  })
})
