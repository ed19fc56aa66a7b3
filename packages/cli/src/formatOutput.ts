/** Formats responses of an instance as text for operators. */
import type { ConfirmOutcome, DiffOutcome, History, RolloutProgress, InstancesResponse, PlanOutcome, StatusResponse } from '@carobpitch/control'
import type { ChangeRecord, Plan, ServiceImpact, Violation } from '@carobpitch/schema'
import { formatTable, formatTime } from './table.js'

/** Formats violations, one a line. @internal */
export function formatViolations (violations: readonly Violation[]): string {
  return violations.map(({ path, message }) => path === '' ? message : `${path}: ${message}`).join('\n')
}

/** Formats the outcome of planning. @internal */
export function formatPlanOutcome (outcome: PlanOutcome): string {
  switch (outcome.kind) {
    case 'planned': return `${formatPlan(outcome.plan)}\n\nNothing has changed yet. To confirm within an hour, through any instance:\n  carobpitch confirm ${outcome.plan.changeId}`
    case 'refused': return `${formatPlan(outcome.plan)}\n\nRefused, nothing changed:\n${indent(outcome.reasons)}`
    case 'invalid': return `Not valid, nothing changed:\n${indent(formatViolations(outcome.violations).split('\n'))}`
    case 'no-change': return `Nothing to do: revision ${outcome.baseRevision} already matches the request.`
    case 'store-unavailable': return `No plan was made and nothing changed, because the store does not answer: ${outcome.reason}`
  }
}

function formatPlan (plan: Plan): string {
  const parts = [`Plan ${plan.changeId} on revision ${plan.baseRevision}: ${plan.summary}`]
  if (plan.impacts.length > 0) parts.push(formatTable(['service', 'slots now', 'after', 'usable at once', 'failure domains', 'busy', 'requests/s'], plan.impacts.map(impactRow)))
  const changes = plan.impacts.flatMap(({ service, changes }) => changes.map(change => `${service}: ${change}`))
  if (changes.length > 0) parts.push(`Changes:\n${indent(changes)}`)
  if (plan.warnings.length > 0) parts.push(`Warnings:\n${indent(plan.warnings)}`)
  return parts.join('\n\n')
}

function impactRow ({ service, slotsBefore, slotsAfter, warmSlotsAfter, domains, load }: ServiceImpact): string[] {
  const byDomain = domains.map(domain => `${domain.failureDomain} ${domain.slotsBefore}→${domain.slotsAfter}`).join(', ')
  return [service, String(slotsBefore), String(slotsAfter), String(warmSlotsAfter), byDomain, load?.busySlots.toFixed(1) ?? 'unknown', load?.requestsPerSecond.toFixed(1) ?? 'unknown']
}

/** Formats the outcome of a confirmation. @internal */
export function formatConfirmOutcome (outcome: ConfirmOutcome): string {
  switch (outcome.kind) {
    case 'accepted': return `Change ${outcome.changeId} is accepted as revision ${outcome.record.revision}.`
    case 'unknown-plan': return `There is no plan ${outcome.changeId}. Plans expire after an hour; status tells whether it was accepted earlier. Nothing changed.`
    case 'outdated': return `Outdated, nothing changed: the plan is based on revision ${outcome.baseRevision}, revision ${outcome.currentRevision} is in force.${formatIntervening(outcome.intervening)}\nPlan again.`
    case 'store-unavailable': return `Nothing changed, because the store does not answer: ${outcome.reason}`
    case 'invalid-document': return `Nothing changed, because the document in the store is not valid:\n${indent(formatViolations(outcome.violations).split('\n'))}`
    case 'invalid': return `Not valid, nothing changed:\n${indent(formatViolations(outcome.violations).split('\n'))}`
    case 'too-large': return `Refused, nothing changed: ${outcome.reason}`
    case 'no-majority': return `Refused, nothing changed: ${outcome.acknowledged} of at least ${outcome.needed} members acknowledged the announcement. No answer from ${outcome.missing.join(', ')}.`
    case 'outcome-unknown': return `The change may have taken effect: the store's answer was lost (${outcome.reason}) and its outcome cannot be read.\nCheck with: carobpitch status ${outcome.changeId}`
  }
}

function formatIntervening (changes: readonly ChangeRecord[]): string {
  if (changes.length === 0) return ''
  return `\n${indent(changes.map(({ revision, changeId, operator, summary }) => `revision ${revision}: ${changeId} by ${operator}: ${summary}`))}`
}

/** Formats the status of a change. @internal */
export function formatStatus (changeId: string, answer: StatusResponse): string {
  switch (answer.kind) {
    case 'accepted': return `Change ${changeId} was accepted as revision ${answer.record.revision} by ${answer.record.operator} at ${formatTime(answer.record.acceptedAtEpochMs)}.${answer.progress === undefined ? '' : `\n${formatProgress(answer.progress)}`}`
    case 'not-accepted': return `Change ${changeId} was not accepted: ${answer.reason}`
    case 'pending': return `Change ${changeId} is not accepted. Its plan on revision ${answer.plan.baseRevision} can be confirmed until ${formatTime(answer.plan.expiresAtEpochMs)}.`
    case 'unknown': return `The outcome of change ${changeId} is unknown: ${answer.reason}`
  }
}

/** Formats how far a revision is in force. @internal */
export function formatProgress ({ revision, inForce, confirmed, cannotServe, waiting }: RolloutProgress): string {
  const unreachable = cannotServe.length === 0 ? '' : ` Unreachable, so they accept no new work: ${cannotServe.join(', ')}.`
  if (inForce) return `Revision ${revision} is in force: ${confirmed.length} members confirmed.${unreachable}`
  const waitingFor = waiting.map(({ instanceId, reason }) => `${instanceId} (${reason})`).join(', ')
  return `Revision ${revision} is not yet in force: ${confirmed.length} members confirmed, waiting for ${waitingFor === '' ? 'more than half of the members' : waitingFor}.${unreachable}`
}

/** Formats the recent changes. @internal */
export function formatHistory ({ revision, changes }: History): string {
  const rows = changes.map(change => [String(change.revision), formatTime(change.acceptedAtEpochMs), change.changeId, change.operator, change.summary])
  return `Revision ${revision}\n\n${formatTable(['revision', 'accepted', 'change', 'operator', 'summary'], rows)}`
}

/** Formats differences between a declaration and the configuration in force. @internal */
export function formatDiff (outcome: DiffOutcome): string {
  switch (outcome.kind) {
    case 'same': return `No difference to revision ${outcome.baseRevision}.`
    case 'invalid': return `Not valid:\n${indent(formatViolations(outcome.violations).split('\n'))}`
    case 'different': {
      const lines = [...outcome.failureDomains.map(change => `failure domain ${change}`), ...outcome.services.flatMap(({ service, changes }) => changes.map(change => `${service}: ${change}`))]
      return `Applying the declaration to revision ${outcome.baseRevision} would change:\n${indent(lines)}`
    }
  }
}

/** Formats the members. @internal */
export function formatInstances ({ revision, instances }: InstancesResponse): string {
  const rows = instances.map(instance => [instance.instanceId, instance.failureDomain, instance.isAlive ? instance.state : 'not answering', String(instance.adoptedRevision), instance.callerUrl])
  return `Revision ${revision}\n\n${formatTable(['instance', 'failure domain', 'state', 'revision', 'callers'], rows)}`
}

function indent (lines: readonly string[]): string {
  return lines.map(line => `  ${line}`).join('\n')
}
