import type { ContentFault } from './CallRecord.js'

/**
 * Checks that the body of a stand-in target's response is complete and belongs to the request.
 * The `end` member detects a body that was truncated but framed as complete.
 * @public
 */
export function checkContent (body: string, requestId: string): ContentFault | undefined {
  let content: { requestId?: unknown, end?: unknown }
  try {
    content = JSON.parse(body) as { requestId?: unknown, end?: unknown }
  } catch {
    return 'incomplete'
  }
  if (content.end !== true) return 'incomplete'
  return content.requestId === requestId ? undefined : 'another-request'
}
