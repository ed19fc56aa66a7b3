/**
 * Measures how long it takes to place a request among 300 targets while 50 requests compete, and prints the spread over rounds.
 * Usage: node scripts/measure-placing.mjs
 */
import { place } from '../packages/gateway/dist/dispatch/place.js'
import { orderWaiting } from '../packages/gateway/dist/dispatch/orderWaiting.js'

const TARGETS = 300
const REQUESTS = 50
const ROUNDS = 400
const WARM_UP_ROUNDS = 100

const views = Array.from({ length: TARGETS }, (_, index) => ({
  factor: 1 + (index * 7 % 31) / 10,
  slots: 4,
  free: index % 5 - 1,
  reportAgeMs: index * 13 % 400,
  isHealthy: index % 20 !== 0,
  isBackingOff: index % 15 === 0,
  isCold: false,
  isSilent: false,
  isConnected: index % 3 === 0,
  refusedShare: index % 11 === 0 ? 0.4 : 0
}))
const requests = Array.from({ length: REQUESTS }, (_, index) => ({ priority: index % 4, arrivedAtMs: index, objectiveMs: 100 + index * 20, workMs: 36 + index * 4 }))
const perDecisionUs = []
for (let round = 0; round < ROUNDS; round += 1) {
  const startedAtMs = performance.now()
  for (const { priority, workMs, objectiveMs } of orderWaiting(requests, REQUESTS)) {
    place(views, { priority, workMs, waitedMs: 5, objectiveMs, freshForMs: 85, unprobedAfterMs: 30, restsForMs: 0 }, Math.random)
  }
  if (round >= WARM_UP_ROUNDS) perDecisionUs.push((performance.now() - startedAtMs) * 1_000 / REQUESTS)
}
perDecisionUs.sort((first, second) => first - second)
const at = share => perDecisionUs[Math.floor(share * (perDecisionUs.length - 1))].toFixed(1)
console.log(`one decision among ${TARGETS} targets, ${REQUESTS} requests in order: p5 ${at(0.05)} us, p50 ${at(0.5)} us, p95 ${at(0.95)} us, max ${at(1)} us`)
