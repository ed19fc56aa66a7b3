import type { ChangeId } from '@carobpitch/schema'

/** Key of a deployment's configuration document. @public */
export function configurationKey (deployment: string): string {
  return `carobpitch/${deployment}/configuration`
}

/** Key of a plan that awaits confirmation. @public */
export function planKey (deployment: string, changeId: ChangeId): string {
  return `carobpitch/${deployment}/plans/${changeId}`
}
