/**
 * Source of random numbers in [0, 1). Injected, so that tests are repeatable.
 * @public
 */
export type RandomSource = () => number

/** Returns a shuffled copy of a list. @public */
export function shuffle<Item> (items: readonly Item[], random: RandomSource): Item[] {
  const shuffled = [...items]
  for (let index = shuffled.length - 1; index > 0; index -= 1) {
    const other = Math.floor(random() * (index + 1))
    const item = shuffled[index] as Item
    shuffled[index] = shuffled[other] as Item
    shuffled[other] = item
  }
  return shuffled
}
