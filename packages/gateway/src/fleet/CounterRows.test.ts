import { expect } from 'chai'
import type { InstanceId } from '@carobpitch/schema'
import { CounterRows, RowsMirror, type RowsDelta } from './CounterRows.js'

function rowsOf (id: string, incarnation = 1, onFull: (name: string) => void = () => {}): CounterRows {
  return new CounterRows({ instanceId: id as InstanceId, incarnation, onFull })
}

function beat (rows: CounterRows, count: number): void {
  for (let index = 0; index < count; index++) rows.beat(performance.now(), true)
}

function pull (to: CounterRows, from: CounterRows, mirror: RowsMirror): RowsDelta {
  const delta = JSON.parse(JSON.stringify(from.deltaFor(mirror.cursor(), undefined))) as RowsDelta
  to.merge(delta, mirror, performance.now())
  return delta
}

describe('CounterRows', () => {
  let first: CounterRows
  let second: CounterRows

  beforeEach(() => {
    first = rowsOf('front-1')
    second = rowsOf('front-2')
    first.add('asked', 3)
    second.add('asked', 4)
    for (const rows of [first, second]) beat(rows, 1)
  })

  describe('merged', () => {
    it('guards against counting twice: a message that comes twice, late or over two ways changes nothing', () => {
      const mirror = new RowsMirror()
      const early = pull(first, second, mirror)
      second.add('asked', 1)
      beat(second, 1)
      pull(first, second, mirror)
      const third = rowsOf('front-3')
      pull(third, second, new RowsMirror())
      pull(first, third, new RowsMirror())
      first.merge(early, new RowsMirror(), performance.now())
      expect([first.total('asked'), first.growth('asked')]).to.deep.equal([8, 8])
    })

    it('sends only what changed', () => {
      const mirror = new RowsMirror()
      second.add('refused', 1)
      pull(first, second, mirror)
      second.add('refused', 1)
      beat(second, 1)
      const delta = pull(first, second, mirror)
      expect([delta.names, delta.rows, delta.changes]).to.deep.equal([[], [], [[0, 2, 1, 2]]])
      expect(pull(first, second, mirror).changes).to.deep.equal([])
      expect(first.total('refused')).to.equal(2)
    })

    it('guards against echoes: what came over a link is not sent back over it', () => {
      const mirror = new RowsMirror()
      pull(first, second, mirror)
      const { changes } = first.deltaFor({ epoch: 0, names: 0, rows: 0, position: 0 }, mirror)
      expect(changes.map(([row]) => row)).to.deep.equal([0])
    })

    it('guards against messages without their beginning, as after a restart of the receiver: its cursor asks for all', () => {
      const mirror = new RowsMirror()
      pull(first, second, mirror)
      second.add('asked', 1)
      const late = second.deltaFor(mirror.cursor(), undefined)
      const restarted = rowsOf('front-1', 2)
      const fresh = new RowsMirror()
      restarted.merge(late, fresh, performance.now())
      expect([restarted.total('asked'), fresh.cursor().epoch]).to.deep.equal([0, 0])
      pull(restarted, second, fresh)
      expect(restarted.total('asked')).to.equal(5)
    })
  })

  describe('the growth', () => {
    it('guards against a jump after a restart: the first sight of an old row is none, what it adds later is', () => {
      beat(second, 100)
      const mirror = new RowsMirror()
      pull(first, second, mirror)
      expect([first.total('asked'), first.growth('asked')]).to.deep.equal([7, 3])
      second.add('asked', 2)
      beat(second, 1)
      pull(first, second, mirror)
      expect(first.growth('asked')).to.equal(5)
    })

    it('counts the row of an instance that has just started in full', () => {
      pull(first, second, new RowsMirror())
      expect(first.growth('asked')).to.equal(7)
    })

    it('guards against totals that fall at once: rows of instances that are gone stay for a time, and no growth is taken back', () => {
      pull(first, second, new RowsMirror())
      expect(first.dropUnchangedSince(performance.now() - 60_000)).to.equal(0)
      expect(first.total('asked')).to.equal(7)
      expect(first.dropUnchangedSince(performance.now() + 1)).to.equal(1)
      expect([first.total('asked'), first.growth('asked')]).to.deep.equal([3, 7])
    })

    it('guards against a jump when an instance is back whose row was dropped', () => {
      const mirror = new RowsMirror()
      pull(first, second, mirror)
      first.dropUnchangedSince(performance.now() + 1)
      pull(first, second, mirror)
      second.add('asked', 1)
      beat(second, 1)
      pull(first, second, mirror)
      expect([first.total('asked'), first.growth('asked')]).to.deep.equal([8, 7])
      second.add('asked', 1)
      beat(second, 1)
      pull(first, second, mirror)
      expect(first.growth('asked')).to.equal(8)
    })
  })

  describe('their bounds', () => {
    it('guards against messages without end: what exceeds one follows with the next, with nothing lost', () => {
      for (const id of ['front-3', 'front-4', 'front-5']) {
        const other = rowsOf(id)
        for (let name = 0; name < 4_000; name++) other.add(`counter-${name}`, 1)
        const otherMirror = new RowsMirror()
        while (pull(second, other, otherMirror).hasMore);
      }
      const mirror = new RowsMirror()
      const pulls = Array.from({ length: 5 }, () => pull(first, second, mirror).hasMore)
      expect(pulls).to.deep.equal([true, true, true, true, false])
      expect([first.total('counter-0'), first.total('counter-3999')]).to.deep.equal([3, 3])
    })

    it('guards against memory without end: counters beyond the bound are told once and not counted', () => {
      const full: string[] = []
      const rows = rowsOf('front-1', 1, name => full.push(name))
      for (let name = 0; name < 16_386; name++) rows.add(`counter-${name}`, 1)
      expect(full).to.deep.equal(['counter-16384'])
      expect([rows.total('counter-16383'), rows.total('counter-16385')]).to.deep.equal([1, 0])
    })
  })
})
