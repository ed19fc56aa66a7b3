import type { InstanceId } from '@carobpitch/schema'

/** Counters of the whole fleet that a process tells apart. 1,000 accounts with ten counters each fit. */
const NAMES_MAX = 16_384
/** Rows, including those of instances that are gone, after which the tables are numbered anew. */
const ROWS_MAX = 4_096
/** Changes per message, so that a reader is done with it in a few milliseconds; the rest follows with the next one. */
const CHANGES_MAX = 2_500
/** Rows of an instance that has counted no longer than this began at 0 when it started, so their first sight is growth. */
const YOUNG_SEQUENCE_MAX = 8
/** Name index of a change that tells only that the instance is alive. */
const NO_NAME = -1

/**
 * What a process has of another one's tables.
 * @public
 */
export interface RowsCursor {
  epoch: number
  names: number
  rows: number
  position: number
}

/**
 * Changes of rows from one process to another. Names and rows are numbered by the sender.
 * @public
 */
export interface RowsDelta {
  epoch: number
  /** Number of the first of `names`. */
  namesFrom: number
  names: string[]
  /** Number of the first of `rows`. */
  rowsFrom: number
  /** Instance id and incarnation. */
  rows: Array<[string, number]>
  /** Number of a row, its sequence, then number of a name and value of the counter for each counter that changed. */
  changes: number[][]
  position: number
  /** Whether the message was full and more changes wait. */
  hasMore: boolean
}

/**
 * Row of one process: counters that only grow.
 * @public
 */
export interface CounterRow {
  instanceId: InstanceId
  incarnation: number
  sequence: number
  counters: Map<number, CounterValue>
  /** Time at which its sequence last rose here, on the clock of `performance.now()`; minus infinity while it isn't known whether its process lives. */
  refreshedAtMs: number
  /** Time at which it was first seen or last refreshed. */
  seenAtMs: number
  /** Whether its counters are seen for the first time, so that they are no growth. */
  isCatchingUp: boolean
}

interface CounterValue {
  value: number
  /** Position of the newest change. */
  position: number
}

interface Change {
  rowIndex: number
  nameIndex: number
  position: number
  /** Mirror over which the change came; it isn't sent back there. */
  source: RowsMirror | undefined
}

/**
 * Tables of another process, translated into one's own.
 * @public
 */
export class RowsMirror {
  epoch = 0
  /** One's own epoch in which the tables were translated. */
  ownEpoch = 0
  names: Array<number | undefined> = []
  rows: Array<CounterRow | undefined> = []
  /** Rows seen for the first time, of which the rest may follow with the next message. */
  catchingUp = new Set<CounterRow>()
  position = 0

  /** Returns what is known of the other process. */
  cursor (): RowsCursor {
    return { epoch: this.epoch, names: this.names.length, rows: this.rows.length, position: this.position }
  }
}

/**
 * Options of `CounterRows`.
 * @public
 */
export interface CounterRowsOptions {
  instanceId: InstanceId
  incarnation: number
  /** Called once when a counter doesn't fit into the tables any more; it is then counted nowhere. */
  onFull: (name: string) => void
}

/**
 * Rows of all instances, merged by the larger value of each counter: a change that comes twice, late or over two ways changes nothing.
 * Pure state, without input or output.
 * @internal
 */
export class CounterRows {
  readonly own: CounterRow
  private readonly options: CounterRowsOptions
  private readonly names: string[] = []
  private readonly nameIndexes = new Map<string, number>()
  private readonly totals: number[] = []
  private readonly growths: number[] = []
  private rows: CounterRow[] = []
  private rowIndexes = new Map<string, number>()
  private changes: Change[] = []
  private liveChanges = 0
  private readonly alivePositions = new Map<CounterRow, number>()
  private epoch: number
  private position = 0
  private encodedPosition = 0
  private isFull = false

  constructor (options: CounterRowsOptions) {
    this.options = options
    this.epoch = options.incarnation
    this.own = this.addRow(options.instanceId, options.incarnation, false)
  }

  /** Adds to a counter of one's own row. */
  add (name: string, amount: number): void {
    const nameIndex = this.indexOf(name)
    if (nameIndex !== undefined) this.raise(this.own, nameIndex, (this.own.counters.get(nameIndex)?.value ?? 0) + amount, undefined)
  }

  /** Marks one's own row as alive. The next message tells it even if no counter has changed, if `isTold`. */
  beat (nowMs: number, isTold: boolean): void {
    this.own.sequence += 1
    this.own.refreshedAtMs = nowMs
    this.own.seenAtMs = nowMs
    if (isTold) this.note(0, NO_NAME, undefined)
  }

  /** Sum of a counter over all rows. */
  total (name: string): number {
    return this.totals[this.nameIndexes.get(name) ?? -1] ?? 0
  }

  /** Growth of a counter. */
  growth (name: string): number {
    return this.growths[this.nameIndexes.get(name) ?? -1] ?? 0
  }

  /** Growth of all counters, by `indexOfKnown`. */
  growthSample (): number[] {
    return this.growths.slice()
  }

  /** Number of a counter, if there is one of this name. */
  indexOfKnown (name: string): number | undefined {
    return this.nameIndexes.get(name)
  }

  /** All rows, one's own first. */
  all (): readonly CounterRow[] {
    return this.rows
  }

  /** Number of counters. */
  nameCount (): number {
    return this.names.length
  }

  /**
   * Changes that another process doesn't have; `mirror` is what came from there.
   * @param isOwnOnly whether only the changes of this process's own row are told
   */
  deltaFor ({ epoch, names, rows, position }: RowsCursor, mirror: RowsMirror | undefined, isOwnOnly = false): RowsDelta {
    const isKnown = epoch === this.epoch
    const namesFrom = isKnown ? Math.min(names, this.names.length) : 0
    const rowsFrom = isKnown ? Math.min(rows, this.rows.length) : 0
    const byRow = new Map<number, number[]>()
    let last = isKnown ? position : 0
    let index = this.firstChangeAfter(last)
    for (let count = 0; index < this.changes.length && count < CHANGES_MAX; index++) {
      const change = this.changes[index] as Change
      last = change.position
      const row = this.rows[change.rowIndex] as CounterRow
      if (!this.isLive(change) || (mirror !== undefined && change.source === mirror) || (isOwnOnly && row !== this.own)) continue
      const fields = byRow.get(change.rowIndex) ?? [change.rowIndex, row.sequence]
      if (change.nameIndex !== NO_NAME) fields.push(change.nameIndex, (row.counters.get(change.nameIndex) as CounterValue).value)
      byRow.set(change.rowIndex, fields)
      count += 1
    }
    const hasMore = index < this.changes.length
    this.encodedPosition = this.position
    return {
      epoch: this.epoch,
      namesFrom,
      names: this.names.slice(namesFrom),
      rowsFrom,
      rows: this.rows.slice(rowsFrom).map(row => [row.instanceId, row.incarnation]),
      changes: [...byRow.values()],
      position: hasMore ? last : this.position,
      hasMore
    }
  }

  /** Merges the changes of another process. Those that don't follow on what is known of it change nothing; its cursor then tells it where to start. */
  merge (delta: RowsDelta, mirror: RowsMirror, nowMs: number): void {
    if (delta.epoch !== mirror.epoch || mirror.ownEpoch !== this.epoch) {
      Object.assign(mirror, { epoch: 0, ownEpoch: this.epoch, names: [], rows: [], catchingUp: new Set(), position: 0 })
      if (delta.namesFrom > 0 || delta.rowsFrom > 0) return
      mirror.epoch = delta.epoch
    }
    if (delta.namesFrom > mirror.names.length || delta.rowsFrom > mirror.rows.length) return
    delta.names.forEach((name, offset) => { mirror.names[delta.namesFrom + offset] = this.indexOf(name) })
    const firstSequences = new Map(delta.changes.map(([rowIndex = 0, sequence = 0]) => [rowIndex, sequence]))
    delta.rows.forEach(([instanceId, incarnation], offset) => {
      const number = delta.rowsFrom + offset
      mirror.rows[number] = this.rowOf(instanceId as InstanceId, incarnation, firstSequences.get(number) ?? Infinity)
    })
    for (const [rowNumber = -1, sequence = 0, ...fields] of delta.changes) {
      const row = mirror.rows[rowNumber]
      if (row === undefined || row === this.own) continue
      if (row.isCatchingUp) mirror.catchingUp.add(row)
      this.mergeRow({ row, sequence, fields, mirror, nowMs })
    }
    mirror.position = delta.position
    if (delta.hasMore) return
    for (const row of mirror.catchingUp) row.isCatchingUp = false
    mirror.catchingUp.clear()
  }

  /** Drops the rows that didn't change since a time. Their counters leave the totals. Returns their number. */
  dropUnchangedSince (timeMs: number): number {
    const dropped = this.rows.filter(row => row !== this.own && row.seenAtMs < timeMs)
    const filled = dropped.filter(({ counters }) => counters.size > 0)
    for (const row of filled) this.empty(row)
    if (this.rows.length > ROWS_MAX && dropped.length > 0) this.renumber(new Set(dropped))
    return filled.length
  }

  private mergeRow ({ row, sequence, fields, mirror, nowMs }: { row: CounterRow, sequence: number, fields: readonly number[], mirror: RowsMirror, nowMs: number }): void {
    let hasChanged = false
    for (let index = 0; index + 1 < fields.length; index += 2) {
      const nameIndex = mirror.names[fields[index] as number]
      if (nameIndex !== undefined) hasChanged = this.raise(row, nameIndex, fields[index + 1] as number, mirror) || hasChanged
    }
    if (sequence <= row.sequence) return
    const isFirstSight = row.sequence === 0
    row.sequence = sequence
    // Whether the process of an old row still lives shows with its next change.
    if (!isFirstSight || !row.isCatchingUp) row.refreshedAtMs = nowMs
    row.seenAtMs = nowMs
    if (!hasChanged) this.note(this.rowIndexes.get(keyOf(row.instanceId, row.incarnation)) as number, NO_NAME, mirror)
  }

  /** Sets a counter to a larger value. Returns whether it was larger. */
  private raise (row: CounterRow, nameIndex: number, value: number, source: RowsMirror | undefined): boolean {
    const counter = row.counters.get(nameIndex) ?? { value: 0, position: 0 }
    const grown = value - counter.value
    if (!(grown > 0)) return false
    counter.value = value
    row.counters.set(nameIndex, counter)
    this.totals[nameIndex] = (this.totals[nameIndex] as number) + grown
    if (!row.isCatchingUp) this.growths[nameIndex] = (this.growths[nameIndex] as number) + grown
    // A change that nobody has been sent yet tells the newest value anyway.
    if (source !== undefined || counter.position <= this.encodedPosition) counter.position = this.note(row === this.own ? 0 : this.rowIndexes.get(keyOf(row.instanceId, row.incarnation)) as number, nameIndex, source)
    return true
  }

  private note (rowIndex: number, nameIndex: number, source: RowsMirror | undefined): number {
    const position = ++this.position
    this.changes.push({ rowIndex, nameIndex, position, source })
    if (nameIndex === NO_NAME) this.alivePositions.set(this.rows[rowIndex] as CounterRow, position)
    if (this.changes.length > 2 * this.liveChanges + CHANGES_MAX) {
      // The newest change isn't yet marked as such in its counter.
      this.changes = this.changes.filter(change => change.position === position || this.isLive(change))
      this.liveChanges = this.changes.length
    }
    return position
  }

  private isLive ({ rowIndex, nameIndex, position }: Change): boolean {
    const row = this.rows[rowIndex] as CounterRow
    return position === (nameIndex === NO_NAME ? this.alivePositions.get(row) : row.counters.get(nameIndex)?.position)
  }

  private firstChangeAfter (position: number): number {
    let from = 0
    let to = this.changes.length
    while (from < to) {
      const middle = (from + to) >> 1
      if ((this.changes[middle] as Change).position <= position) from = middle + 1
      else to = middle
    }
    return from
  }

  private indexOf (name: string): number | undefined {
    const known = this.nameIndexes.get(name)
    if (known !== undefined) return known
    if (this.names.length >= NAMES_MAX) {
      if (!this.isFull) this.options.onFull(name)
      this.isFull = true
      return undefined
    }
    const index = this.names.push(name) - 1
    this.nameIndexes.set(name, index)
    this.totals[index] = 0
    this.growths[index] = 0
    return index
  }

  private rowOf (instanceId: InstanceId, incarnation: number, sequence: number): CounterRow {
    const index = this.rowIndexes.get(keyOf(instanceId, incarnation))
    return index === undefined ? this.addRow(instanceId, incarnation, sequence > YOUNG_SEQUENCE_MAX) : this.rows[index] as CounterRow
  }

  private addRow (instanceId: InstanceId, incarnation: number, isCatchingUp: boolean): CounterRow {
    const row: CounterRow = { instanceId, incarnation, sequence: 0, counters: new Map(), refreshedAtMs: isCatchingUp ? -Infinity : performance.now(), seenAtMs: performance.now(), isCatchingUp }
    this.rowIndexes.set(keyOf(instanceId, incarnation), this.rows.push(row) - 1)
    return row
  }

  private empty (row: CounterRow): void {
    for (const [nameIndex, { value }] of row.counters) this.totals[nameIndex] = (this.totals[nameIndex] as number) - value
    row.counters.clear()
    row.isCatchingUp = true
    this.alivePositions.delete(row)
  }

  private renumber (dropped: ReadonlySet<CounterRow>): void {
    const kept = this.rows.filter(row => !dropped.has(row))
    this.rows = kept
    this.rowIndexes = new Map(kept.map((row, index) => [keyOf(row.instanceId, row.incarnation), index]))
    this.epoch += 1
    this.changes = []
    this.liveChanges = 0
    kept.forEach((row, rowIndex) => {
      for (const [nameIndex, counter] of row.counters) counter.position = this.note(rowIndex, nameIndex, undefined)
    })
  }
}

function keyOf (instanceId: InstanceId, incarnation: number): string {
  return `${instanceId} ${incarnation}`
}

/** Size of a message as it is encoded, without the few bytes of its field names. @internal */
export function sizeBytesOf ({ names, rows, changes }: RowsDelta): number {
  let bytes = 0
  for (const name of names) bytes += name.length + 3
  for (const [instanceId, incarnation] of rows) bytes += instanceId.length + digitsOf(incarnation) + 6
  for (const fields of changes) for (const field of fields) bytes += digitsOf(field) + 1
  return bytes + 3 * changes.length
}

function digitsOf (value: number): number {
  return value < 10 ? 1 : 1 + Math.floor(Math.log10(value))
}
