/** The store cuts the waiting watches shortly before an upstream's entry is removed. The upstream gets requests for over 2 s. */
import { Client } from '../lib/Client.mjs'
import { pause } from '../lib/Fronts.mjs'
import { configuration, runCase } from '../lib/testCase.mjs'
import { Upstream } from '../lib/Upstream.mjs'

const DEADLINE_MS = 2_500
/** Bound `drain-timeout`. */
const DRAIN_TIMEOUT_MS = 2_000
const UPSTREAMS = 4
const CLIENTS_PER_FRONT = 8
const ROUNDS = 8
const CUT_BEFORE_MS = 20
/** Time for which a removed upstream still serves. */
const SERVES_ON_MS = 3_000
const ZONES = ['zone-a', 'zone-b', 'zone-c']

await runCase('record.txt', async ({ store, fronts, isTrouble, record }) => {
  store.put('op/config', configuration({
    stock: { service: 'menzaiko', 'route-type': 'safe', timeout: '1200ms', 'target-latency': '600ms' }
  }, ['menzaiko']))
  let started = 0
  const addUpstream = async () => {
    started += 1
    const upstream = new Upstream({ store, id: `i-${started}`, service: 'menzaiko', slots: 10, zone: ZONES[started % ZONES.length] })
    await upstream.start('127.0.0.1')
    return upstream
  }
  const upstreams = []
  while (upstreams.length < UPSTREAMS) upstreams.push(await addUpstream())
  const running = await Promise.all(ZONES.map((zone, index) => fronts.start(`front-${zone}-1`, `127.0.0.${index + 2}`, { zone })))
  // The rule binds machines that have been in touch for 3 s.
  await pause(5_000)

  const load = { isOn: true }
  const statuses = {}
  const clients = running.flatMap((front, frontIndex) => Array.from({ length: CLIENTS_PER_FRONT }, async (_, index) => {
    const client = new Client({ front, name: `c-${frontIndex}-${index}` })
    while (load.isOn) {
      const { how, status } = await client.send({ path: '/stock/1', deadlineMs: DEADLINE_MS })
      statuses[`${how} ${status ?? ''}`] = (statuses[`${how} ${status ?? ''}`] ?? 0) + 1
      await pause(10)
    }
    client.close()
  }))
  let late = 0
  for (let round = 0; round < ROUNDS; round += 1) {
    await pause(3_500)
    if (isTrouble) {
      while (store.watches.size < running.length) await pause(5)
      record(`the store cuts ${store.cutWatches()} waiting watches`)
      await pause(CUT_BEFORE_MS)
    }
    const [leaving] = upstreams.splice(0, 1)
    store.remove(`servers/${leaving.id}`)
    const confirmedAtMs = performance.now()
    await pause(SERVES_ON_MS)
    const afterMs = leaving.arrivals.map(({ atMs }) => atMs - confirmedAtMs).filter(ms => ms > 0)
    const tooLate = afterMs.filter(ms => ms > DRAIN_TIMEOUT_MS)
    late += tooLate.length
    record(`${leaving.id} is gone from the store; ${afterMs.length} requests reach it afterwards, the last one ${Math.round(Math.max(0, ...afterMs))} ms after; ${tooLate.length} of them too late`)
    await leaving.stop()
    upstreams.push(await addUpstream())
  }
  load.isOn = false
  await Promise.all(clients)
  record(`outcomes ${JSON.stringify(statuses)}`)
  record(`${late} requests reached an upstream later than ${DRAIN_TIMEOUT_MS} ms after the store had confirmed that it is gone; processes ended: ${running.filter(({ exit }) => exit !== undefined).length}`)
  return late > 0
})
