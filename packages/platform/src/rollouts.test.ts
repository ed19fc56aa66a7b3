import { expect } from 'chai'
import type { RolloutState } from '@carobpitch/gateway'
import type { ServiceName, TargetVersion } from '@carobpitch/schema'
import { decodeRecord } from './decodeRecord.js'
import { encodeRollout } from './rollouts.js'

const targetVersion = 'v2' as TargetVersion
const order = { service: 'huvo11a', 'target-version': 'v2', duration: '12s' }

describe('records of roll-outs', () => {
  it('decodes an order', () => {
    const decoded = decodeRecord('op/rollout/huvo11a', JSON.stringify(order))
    expect(decoded.isOk && decoded.value).to.deep.equal({ kind: 'rollout-order', order: { service: 'huvo11a', targetVersion: 'v2', durationMs: 12_000 } })
  })

  it('refuses odd entries: of another service, without a version, with an unreadable duration', () => {
    expect(decodeRecord('op/rollout/other', JSON.stringify(order)).isErr).to.equal(true)
    expect(decodeRecord('op/rollout/huvo11a', JSON.stringify({ ...order, 'target-version': '' })).isErr).to.equal(true)
    expect(decodeRecord('op/rollout/huvo11a', JSON.stringify({ ...order, duration: 'soon' })).isErr).to.equal(true)
    expect(decodeRecord('carobpitch/rollouts/huvo11a', '{"share":2}').isErr).to.equal(true)
  })

  it('reads back its own decision, and tells operators the state in the words of the platform', () => {
    const state: RolloutState = { service: 'huvo11a' as ServiceName, targetVersion, orderRevision: 7, phase: 'rolled-back', share: 0, orderedAtEpochMs: 1, barredVersions: [targetVersion], requests: 100, exposedRequests: 7 }
    const [status, record] = encodeRollout(state)
    const decoded = decodeRecord(record.key, record.value)
    expect(decoded.isOk && decoded.value).to.deep.equal({ kind: 'rollout-state', state })
    expect(status).to.deep.equal({ key: 'status/rollout/huvo11a', value: '{"state":"rolled_back","target-version":"v2"}' })
  })
})
