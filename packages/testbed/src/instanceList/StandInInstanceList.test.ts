import FakeTimers from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { StandInInstanceList } from './StandInInstanceList.js'

describe('stand-in instance list', () => {
  it('shows a change only after the lag, guarding against a list that is never stale', () => {
    const clock = FakeTimers.install()
    const list = new StandInInstanceList({ instances: [{ address: '127.0.0.1:1', state: 'live' }], lagMs: 1_000 })
    list.replaceInstances([{ address: '127.0.0.1:1', state: 'leaving' }])
    clock.tick(999)
    expect(list.visibleInstances()).to.deep.equal([{ address: '127.0.0.1:1', state: 'live' }])
    clock.tick(1)
    expect(list.visibleInstances()).to.deep.equal([{ address: '127.0.0.1:1', state: 'leaving' }])
    clock.uninstall()
  })

  it('serves the list and accepts a new one over HTTP', async () => {
    const list = new StandInInstanceList()
    await list.start()
    await fetch(list.url(), { method: 'PUT', body: JSON.stringify({ instances: [{ address: '127.0.0.1:2', state: 'live' }] }) })
    const served = await (await fetch(list.url())).json()
    expect(served).to.deep.equal({ instances: [{ address: '127.0.0.1:2', state: 'live' }] })
    await list.stop()
  })
})
