/** Returns a seeded generator of numbers in [0, 1) (mulberry32). @public */
export function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state + 0x6d2b79f5) | 0
    let bits = Math.imul(state ^ (state >>> 15), state | 1)
    bits ^= bits + Math.imul(bits ^ (bits >>> 7), bits | 61)
    return ((bits ^ (bits >>> 14)) >>> 0) / 2 ** 32
  }
}

/** Draws an exponentially distributed number with the given mean. @public */
export function drawExponential (random: () => number, mean: number): number {
  return -Math.log(1 - random()) * mean
}
