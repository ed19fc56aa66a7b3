import { gzipSync } from 'node:zlib'
import type { Configuration } from '@carobpitch/schema'
import type { KeyValueStore } from '@carobpitch/store'

/**
 * Writes an initial configuration to the store and marks its targets as warm, as in a deployment that is already running.
 * @throws Error when the store cannot be written or already holds one of the keys.
 * @public
 */
export async function seedStore (store: KeyValueStore, deployment: string, configuration: Configuration): Promise<void> {
  const prefix = `carobpitch/${deployment}`
  for (const [targetId, { broughtInRevision }] of Object.entries(configuration.targets)) {
    await createKey(store, `${prefix}/warmth/${targetId}`, JSON.stringify({ targetId, broughtInRevision, coldTurns: 0, state: 'warm' }))
  }
  await createKey(store, `${prefix}/configuration`, gzipSync(JSON.stringify(configuration)).toString('base64'))
}

async function createKey (store: KeyValueStore, key: string, value: string): Promise<void> {
  const outcome = await store.compareAndSwap({ key, value, expectedModRevision: 0 })
  if (outcome.isErr) throw new Error(`cannot write ${key}: ${outcome.error.reason}`)
  if (outcome.value.kind === 'conflict') throw new Error(`${key} already exists`)
}
