/** Returns a body of the given size that names its request throughout. */
export function contentOf (requestId: string, sizeBytes: number): Buffer {
  return Buffer.alloc(sizeBytes, `${requestId} `)
}

/** Whether a body is the whole content of a request. */
export function isContentOf (requestId: string, body: Buffer, sizeBytes: number): boolean {
  return body.length === sizeBytes && body.equals(contentOf(requestId, sizeBytes))
}

/** Returns the path of a request; the target reads from it how long it works and what it answers. */
export function requestPath (prefix: string, { workMs, answerBytes, bodyBytes }: { workMs: number, answerBytes: number, bodyBytes: number }): string {
  return `${prefix}w${workMs}-a${answerBytes}-b${bodyBytes}`
}

/** Reads what `requestPath` has written. */
export function readRequestPath (path: string): { workMs: number, answerBytes: number, bodyBytes: number } {
  const [, workMs = '0', answerBytes = '0', bodyBytes = '0'] = /w(\d+)-a(\d+)-b(\d+)$/.exec(path) ?? []
  return { workMs: Number(workMs), answerBytes: Number(answerBytes), bodyBytes: Number(bodyBytes) }
}
