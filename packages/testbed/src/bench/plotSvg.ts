import type { PeriodSummary } from './timeline.js'

/**
 * One curve of a plot.
 * @internal
 */
interface Panel {
  title: string
  valueOf: (period: PeriodSummary) => number | undefined
  /** Upper end of the axis, if it does not depend on the data. */
  max?: number
}

/**
 * A point in time to mark in a plot.
 * @public
 */
export interface PlotMark {
  atMs: number
  label: string
}

const WIDTH = 900
const PANEL_HEIGHT = 130
const MARGIN = { left: 70, right: 20, top: 40, between: 40 }

const PANELS: readonly Panel[] = [
  { title: 'successful calls (%)', valueOf: ({ callCount, succeededCount }) => callCount === 0 ? undefined : 100 * succeededCount / callCount, max: 100 },
  { title: 'p50 (ms)', valueOf: period => period.p50Ms },
  { title: 'p99 (ms)', valueOf: period => period.p99Ms }
]

/** Draws success, p50 and p99 over time with marked events as an SVG document. @public */
export function plotSvg (title: string, timeline: readonly PeriodSummary[], marks: readonly PlotMark[]): string {
  const endMs = (timeline.at(-1)?.fromMs ?? 0) + 1
  const toX = (atMs: number): number => MARGIN.left + atMs / endMs * (WIDTH - MARGIN.left - MARGIN.right)
  const height = MARGIN.top + PANELS.length * (PANEL_HEIGHT + MARGIN.between)
  const parts = PANELS.map((panel, index) => drawPanel(panel, timeline, toX, MARGIN.top + index * (PANEL_HEIGHT + MARGIN.between)))
  const lines = marks.map(({ atMs, label }) =>
    `<line x1="${round(toX(atMs))}" x2="${round(toX(atMs))}" y1="${MARGIN.top}" y2="${height - MARGIN.between}" stroke="#b33" stroke-dasharray="4 3"/>` +
    `<text x="${round(toX(atMs) + 4)}" y="${MARGIN.top - 6}" fill="#b33">${escapeText(label)}</text>`)
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="12">`,
    '<rect width="100%" height="100%" fill="white"/>',
    `<text x="${MARGIN.left}" y="16" font-size="14">${escapeText(title)}</text>`,
    ...parts, ...lines, '</svg>', ''
  ].join('\n')
}

function drawPanel ({ title, valueOf, max }: Panel, timeline: readonly PeriodSummary[], toX: (atMs: number) => number, top: number): string {
  const values = timeline.map(valueOf)
  const highest = max ?? Math.max(1, ...values.filter(value => value !== undefined))
  const bottom = top + PANEL_HEIGHT
  const toY = (value: number): number => bottom - value / highest * PANEL_HEIGHT
  const points = timeline.flatMap(({ fromMs }, index) => {
    const value = values[index]
    return value === undefined ? [] : [`${round(toX(fromMs))},${round(toY(value))}`]
  })
  const endMs = timeline.at(-1)?.fromMs ?? 0
  return [
    `<rect x="${MARGIN.left}" y="${top}" width="${WIDTH - MARGIN.left - MARGIN.right}" height="${PANEL_HEIGHT}" fill="none" stroke="#999"/>`,
    `<text x="${MARGIN.left - 6}" y="${top + 10}" text-anchor="end">${round(highest)}</text>`,
    `<text x="${MARGIN.left - 6}" y="${bottom}" text-anchor="end">0</text>`,
    `<text x="${MARGIN.left + 6}" y="${top + 14}" fill="#555">${escapeText(title)}</text>`,
    `<text x="${WIDTH - MARGIN.right}" y="${bottom + 14}" text-anchor="end" fill="#555">${round(endMs / 1_000)} s</text>`,
    `<polyline points="${points.join(' ')}" fill="none" stroke="#246"/>`
  ].join('\n')
}

function round (value: number): number {
  return Math.round(value * 10) / 10
}

function escapeText (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;')
}
