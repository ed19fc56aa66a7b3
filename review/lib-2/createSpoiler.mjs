import { STATUS_CODES } from 'node:http'

/**
 * Returns a function that chooses some answers of an upstream and sends the first bytes of each once more, before the next answer on its
 * connection: "an extra response may arrive late, at the point where the next response is expected", and this one is broken off at some byte of
 * its head.
 * @param spoiling counts of the case: `isOn`, `answers`, `chosen` and `sent`
 * @param share largest share of the answers that is spoiled
 * @param mayChoose whether an answer may be chosen, by its status
 */
export function createSpoiler ({ upstream, record, spoiling, share, mayChoose = () => true }) {
  const owed = new WeakMap()
  return ({ response, id, status, headers }) => {
    const { socket } = response
    const extra = owed.get(socket)
    if (extra !== undefined) {
      owed.delete(socket)
      socket.write(extra, 'latin1')
      spoiling.sent += 1
      record.add('extra', { upstream: upstream.id, before: id, bytes: JSON.stringify(extra) })
    }
    if (!spoiling.isOn) return
    spoiling.answers += 1
    if (!mayChoose(status) || spoiling.chosen + 1 > spoiling.answers * share) return
    spoiling.chosen += 1
    const head = `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`
    owed.set(socket, head.slice(0, 1 + Math.floor(Math.random() * (head.length - 1))))
  }
}
