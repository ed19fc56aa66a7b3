import { expect } from 'chai'
import { Result } from 'true-myth'
import { EventLog } from '@carobpitch/kernel'
import type { ListOptions, RecordPage } from './ChangeStore.js'
import { DeploymentCache } from './DeploymentCache.js'
import { propagationBudget } from './propagationBudget.js'
import { PropagationWaits } from './PropagationWaits.js'
import { positionOf } from './storePosition.js'
import { StoreReader } from './StoreReader.js'

describe('StoreReader', () => {
  it('guards against records of two eras in one read: a store that comes back between two pages is read again', async () => {
    const log = new EventLog({ silent: true })
    const deploymentCache = new DeploymentCache({ decode: () => Result.ok({ kind: 'foreign' }), log })
    let era = 1
    const listPage = async (_prefix: string, { after }: ListOptions = {}): Promise<Result<RecordPage, never>> => {
      const page = { records: [{ key: after === undefined ? 'a' : 'b', value: '', modRevision: positionOf(era, 3) }], revision: positionOf(era, 5), hasMore: after === undefined }
      if (after === undefined && era === 1) era = 2
      return Result.ok(page)
    }
    const store = { listPage, changesAfter: async () => Result.err({ kind: 'history-lost' as const }) }
    const budget = propagationBudget({ configApplyMs: 2_000, contactMs: 3_000 })
    const reader = new StoreReader({ store, deploymentCache, budget, waits: new PropagationWaits({ onWait: () => {} }), log, random: () => 0.5 })
    expect(await reader.read({ isAfterOutage: false, mayWait: false })).to.equal('failed')
    expect(deploymentCache.revision()).to.equal(0)
    expect(await reader.read({ isAfterOutage: false, mayWait: false })).to.equal('unconfirmed')
    expect(deploymentCache.revision()).to.equal(positionOf(2, 5))
  })
})
