/** Maps the outcomes of commands to exit codes. */
import type { ConfirmOutcome, DiffOutcome, PlanOutcome, StatusResponse } from '@carobpitch/control'
import { EXIT, type ExitCode } from './exitCodes.js'

/** Exit code of a planning outcome, for `plan` and `apply`. @internal */
export function planExitCode (outcome: PlanOutcome): ExitCode {
  switch (outcome.kind) {
    case 'planned': return EXIT.ok
    case 'no-change': return EXIT.ok
    case 'invalid': return EXIT.invalid
    case 'refused': return EXIT.refused
    case 'store-unavailable': return EXIT.unavailable
  }
}

/** Exit code of a confirmation, for `confirm` and `apply`. @internal */
export function confirmExitCode (outcome: ConfirmOutcome): ExitCode {
  switch (outcome.kind) {
    case 'accepted': return outcome.progress.inForce ? EXIT.ok : EXIT.waiting
    case 'unknown-plan': return EXIT.notFound
    case 'outdated': return EXIT.outdated
    case 'store-unavailable': return EXIT.unavailable
    case 'invalid-document': return EXIT.invalid
    case 'invalid': return EXIT.invalid
    case 'too-large': return EXIT.refused
    case 'no-majority': return EXIT.refused
    case 'outcome-unknown': return EXIT.unknown
  }
}

/** Exit code of `status`. @internal */
export function statusExitCode (answer: StatusResponse): ExitCode {
  switch (answer.kind) {
    case 'accepted': return answer.progress?.inForce === true ? EXIT.ok : EXIT.waiting
    case 'not-accepted': return EXIT.outdated
    case 'pending': return EXIT.pending
    case 'unknown': return EXIT.unknown
  }
}

/** Exit code of `diff`. @internal */
export function diffExitCode (outcome: DiffOutcome): ExitCode {
  switch (outcome.kind) {
    case 'same': return EXIT.ok
    case 'different': return EXIT.different
    case 'invalid': return EXIT.invalid
  }
}
