/** Fake clock for tests: timers, `Date` and `performance.now()` advance only on request. */
import { install, type Clock } from '@sinonjs/fake-timers'

/** Installs a fake clock; call `uninstall` on the result after the test. @internal */
export function installFakeClock (): Clock & { uninstall: () => void } {
  return install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'], now: 1_000_000 }) as never
}

/** Advances the clock until a promise settles and returns its value. Rejects after `limitMs` of fake time. @internal */
export async function runUntilSettled<Value> (clock: Clock, promise: Promise<Value>, limitMs = 60_000): Promise<Value> {
  const state = { isSettled: false }
  const markSettled = (): void => { state.isSettled = true }
  promise.then(markSettled, markSettled)
  for (let elapsedMs = 0; !state.isSettled && elapsedMs < limitMs; elapsedMs += 5) await clock.tickAsync(5)
  if (!state.isSettled) throw new Error(`not settled within ${limitMs} ms`)
  return await promise
}
