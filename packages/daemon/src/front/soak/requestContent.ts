/** How a target frames its answer; `dripped` is chunked, with pauses between the parts, and `early` is sent before the body is read. @internal */
export const ANSWER_FRAMINGS = ['length', 'chunked', 'dripped', 'close', 'early'] as const

/** One of `ANSWER_FRAMINGS`. @internal */
export type AnswerFraming = typeof ANSWER_FRAMINGS[number]

/** What a request asks of its target. @internal */
export interface RequestContent {
  workMs: number
  answerBytes: number
  bodyBytes: number
  framing: AnswerFraming
}

/** Returns a body of the given size that names its request throughout. */
export function contentOf (requestId: string, sizeBytes: number): Buffer {
  return Buffer.alloc(sizeBytes, `${requestId} `)
}

/** Whether a body is the whole content of a request. */
export function isContentOf (requestId: string, body: Buffer, sizeBytes: number): boolean {
  return body.length === sizeBytes && body.equals(contentOf(requestId, sizeBytes))
}

/** Returns the path of a request; the target reads from it how long it works and what it answers. */
export function requestPath (prefix: string, { workMs, answerBytes, bodyBytes, framing }: RequestContent): string {
  return `${prefix}w${workMs}-a${answerBytes}-b${bodyBytes}-${framing}`
}

/** Reads what `requestPath` has written. */
export function readRequestPath (path: string): RequestContent {
  const [, workMs = '0', answerBytes = '0', bodyBytes = '0', framing = 'length'] = /w(\d+)-a(\d+)-b(\d+)-(\w+)$/.exec(path) ?? []
  return { workMs: Number(workMs), answerBytes: Number(answerBytes), bodyBytes: Number(bodyBytes), framing: framing as AnswerFraming }
}
