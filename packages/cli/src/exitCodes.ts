/** Exit codes of `carobpitch`. Scripts depend on them, so a code never changes its meaning. */

/** Exit code by meaning. @public */
export const EXIT = {
  /** Done. For `confirm` and `status`: the change is in force everywhere. */
  ok: 0,
  /** An unexpected failure of the tool. */
  failed: 1,
  /** Wrong usage, or a file or intent that is not valid. Nothing changed. */
  invalid: 2,
  /** No instance responds, or the store does not. Nothing changed. */
  unavailable: 3,
  /** Refused: capacity, no majority, or too large. Nothing changed. */
  refused: 4,
  /** Another change was accepted first. Nothing changed; plan again. */
  outdated: 5,
  /** The change may have taken effect; check with `status`. */
  unknown: 6,
  /** Accepted, and not yet in force at every member. */
  waiting: 7,
  /** The credential is missing or unknown. */
  unauthorised: 8,
  /** No plan or change has this id. */
  notFound: 9,
  /** `diff` or `settings` found differences. */
  different: 10,
  /** The change is not accepted; its plan can still be confirmed. */
  pending: 11,
  /** `apply --yes` made a plan and did not confirm it, because it has warnings. */
  warned: 12
} as const

/** An exit code. @public */
export type ExitCode = typeof EXIT[keyof typeof EXIT]

/** Lists the exit codes for `--help`. @internal */
export const EXIT_CODE_HELP = `
Exit codes:
   0  done; for confirm, apply --yes and status: in force everywhere
   1  unexpected failure of the tool
   2  wrong usage, or an invalid file or intent; nothing changed
   3  no instance or no store answers; nothing changed
   4  refused: capacity, majority or size; nothing changed
   5  outdated: another change was accepted first; nothing changed
   6  outcome unknown: the change may have taken effect
   7  accepted, not yet in force everywhere
   8  missing or unknown credential
   9  no plan or change has this id
  10  diff or settings found differences
  11  status: not accepted, the plan can still be confirmed
  12  apply --yes: not confirmed, because the plan carries warnings

With apply --region the code is that of the first region that did not end with 0.`
