/** Formats rows as columns of equal width. @internal */
export function formatTable (headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const widths = headings.map((heading, column) => Math.max(heading.length, ...rows.map(row => row[column]?.length ?? 0)))
  const format = (cells: readonly string[]): string => cells.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()
  return [format(headings.map(heading => heading.toUpperCase())), ...rows.map(format)].join('\n')
}

/** Formats a time in UTC, to the second. @internal */
export function formatTime (epochMs: number): string {
  return `${new Date(epochMs).toISOString().slice(0, 19).replace('T', ' ')}Z`
}
