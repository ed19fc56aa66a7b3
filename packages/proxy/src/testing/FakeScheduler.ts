import { Result } from 'true-myth'
import type { AttemptOutcome, Refusal, Scheduler, ScheduleRequest, TargetGrant, TargetView } from '@carobpitch/routing'
import type { Configuration, TargetId } from '@carobpitch/schema'

/**
 * Grants the first configured target that the request does not exclude. Throws when a grant is released twice.
 * @internal
 */
export class FakeScheduler implements Pick<Scheduler, 'acquire'> {
  readonly requests: ScheduleRequest[] = []
  readonly outcomes: Array<AttemptOutcome & { targetId: TargetId }> = []
  readonly views: TargetView[]
  /** While set, requests wait until it is resolved. */
  hold: Promise<void> | undefined
  refusal: Refusal | undefined
  openGrants = 0

  constructor ({ targets }: Configuration) {
    this.views = Object.entries(targets).map(([targetId, configuration]) =>
      ({ targetId: targetId as TargetId, configuration, inFlight: 0, limit: configuration.slots, smoothedLatencyMs: 0, reportedLoad: 0 }))
  }

  async acquire (request: ScheduleRequest): Promise<Result<TargetGrant, Refusal>> {
    this.requests.push(request)
    await this.hold
    if (this.refusal !== undefined) return Result.err(this.refusal)
    const target = this.views.find(({ targetId }) => !request.exclude.has(targetId))
    if (target === undefined) return Result.err({ verdict: 'not-run', reason: 'no-target' })
    let isReleased = false
    this.openGrants += 1
    return Result.ok({
      target,
      release: outcome => {
        if (isReleased) throw new Error('grant released twice')
        isReleased = true
        this.openGrants -= 1
        this.outcomes.push({ ...outcome, targetId: target.targetId })
      }
    })
  }
}
