/** Explains a request from the log lines of front processes. */

/** Fields of one log line. */
export type LogFields = Readonly<Record<string, string>>

const FIELD_PATTERN = /([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S+)/g

/** Reads the key=value pairs of a line. @internal */
export function parseLogLine (text: string): LogFields {
  const fields: Record<string, string> = {}
  for (const [, key, value] of text.matchAll(FIELD_PATTERN)) {
    if (key !== undefined && value !== undefined) fields[key] = value.startsWith('"') ? String(JSON.parse(value)) : value
  }
  return fields
}

/** Describes the log lines of a request, oldest first. Empty if no line belongs to the request. @internal */
export function explainRequest (requestId: string, texts: readonly string[]): string[] {
  return texts
    .flatMap(text => text.split('\n'))
    .filter(line => line.includes(requestId))
    .map(parseLogLine)
    .filter(line => line.requestId === requestId)
    .sort((first, second) => (first.time ?? '').localeCompare(second.time ?? ''))
    .map(line => `${line.time} ${line.instance}: ${describeLine(line)}`)
}

function describeLine (line: LogFields): string {
  switch (line.event) {
    case 'request.sent':
      return `attempt ${line.attempt} sent to ${line.targetId} after ${line.waitedMs} ms: expected response after ${line.factor} times the usual service time, ` +
        `${line.freeSlots} free slots in a load report ${line.reportAgeMs} ms old${line.isCold === 'true' ? ', target cold' : ''}`
    case 'attempt.failed':
      return `attempt ${line.attempt} at ${line.targetId} failed after ${line.elapsedMs} ms: ${line.reason}` +
        `${line.status === undefined ? '' : `, status ${line.status}`}; the request ${describeVerdict(line)}`
    case 'request.ended':
      return `ended with ${line.outcome}${line.status === undefined ? '' : `, status ${line.status}`}, after ${line.elapsedMs} ms` +
        `${line.objectiveMs === undefined ? '' : ` (objective ${line.objectiveMs} ms)`} and ${line.attempts} attempts, ` +
        `by configuration ${line.configurationVersion}; the request ${describeVerdict(line)}`
    default:
      return Object.entries(line).map(([key, value]) => `${key}=${value}`).join(' ')
  }
}

function describeVerdict ({ verdict }: LogFields): string {
  switch (verdict) {
    case 'not-run': return 'has not run'
    case 'may-have-run': return 'may have run'
    default: return 'was answered by a target'
  }
}
