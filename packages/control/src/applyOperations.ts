import { Result } from 'true-myth'
import { parseWith, configurationSchema, type Configuration, type Operation, type Violation } from '@carobpitch/schema'
import { ConfigurationDraft } from './ConfigurationDraft.js'

/**
 * Applies operations in order to a configuration and returns the document with the next revision.
 * Validates the result and returns all violations; those of an operation contain its index in the path.
 * @public
 */
export function applyOperations (base: Configuration, operations: readonly Operation[]): Result<Configuration, Violation[]> {
  const draft = new ConfigurationDraft(base)
  operations.forEach((operation, index) => draft.apply(operation, `operations.${index}`))
  if (draft.violations.length > 0) return Result.err(draft.violations)
  draft.updateBroughtInRevisions()
  return parseWith(configurationSchema, draft.document)
}

/**
 * Whether two documents have the same services, failure domains and targets; revision and history may differ.
 * @public
 */
export function hasSameEffect (first: Configuration, second: Configuration): boolean {
  return toCanonicalJson(first) === toCanonicalJson(second)
}

function toCanonicalJson ({ services, failureDomains, targets }: Configuration): string {
  return JSON.stringify([services, failureDomains, targets].map(part => Object.entries(part).sort(([first], [second]) => first < second ? -1 : 1)
    .map(([id, value]) => [id, Object.entries(value).sort(([first], [second]) => first < second ? -1 : 1)])))
}
