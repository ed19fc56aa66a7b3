import type { ChangeId } from '@carobpitch/schema'

/** Returns the store key of a deployment's configuration document. @public */
export function configurationKey (deployment: string): string {
  return `carobpitch/${deployment}/configuration`
}

/** Returns the store key of a plan that can still be confirmed. @public */
export function planKey (deployment: string, changeId: ChangeId): string {
  return `carobpitch/${deployment}/plans/${changeId}`
}
