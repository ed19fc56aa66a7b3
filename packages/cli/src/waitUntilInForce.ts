import type { RolloutProgress } from '@carobpitch/control'
import type { ChangeId } from '@carobpitch/schema'
import { formatProgress } from './formatOutput.js'
import type { ToolContext } from './ToolContext.js'

const POLL_INTERVAL_MS = 300

/** Options of `waitUntilInForce`. @internal */
export interface WaitOptions {
  changeId: ChangeId
  /** Progress known so far. */
  progress: RolloutProgress
  waitMs: number
}

/** Polls the status of an accepted change, prints progress when it changes, and returns the last progress. @internal */
export async function waitUntilInForce (context: ToolContext, { changeId, progress, waitMs }: WaitOptions): Promise<RolloutProgress> {
  const endAtMs = performance.now() + waitMs
  let latest = progress
  let lastPrinted = ''
  while (!latest.inForce && performance.now() < endAtMs) {
    const text = formatProgress(latest)
    if (text !== lastPrinted) context.printNotice(text)
    lastPrinted = text
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
    const status = await context.client().call((client, signal) => client.status.query({ changeId }, { signal }))
    if (status.kind === 'accepted' && status.progress !== undefined) latest = status.progress
  }
  return latest
}
