import { ByteCollector } from './ByteCollector.js'

/**
 * Reads a body to its end. Returns `undefined` as soon as it exceeds `sizeMaxBytes`; leaving the loop then destroys the stream.
 * @throws Error if the stream fails.
 * @public
 */
export async function collectBytes (body: AsyncIterable<Buffer>, sizeMaxBytes: number): Promise<Buffer | undefined> {
  const collected = new ByteCollector()
  for await (const piece of body) {
    if (collected.sizeBytes + piece.length > sizeMaxBytes) return undefined
    collected.append(piece)
  }
  return collected.take()
}
