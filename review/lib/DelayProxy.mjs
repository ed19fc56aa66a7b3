/** A proxy on loopback that stands for the way between clients and a machine: everything arrives a little later, in both directions. */
import { connect, createServer } from 'node:net'
import { once } from 'node:events'

export class DelayProxy {
  constructor ({ host, port, delayMs }) {
    this.server = createServer({ allowHalfOpen: true }, near => {
      const far = connect({ host, port, allowHalfOpen: true })
      pass(near, far, delayMs)
      pass(far, near, delayMs)
    })
  }

  /** Starts to listen. Returns the port. */
  async start (host) {
    this.server.listen(0, host)
    await once(this.server, 'listening')
    return this.server.address().port
  }

  stop () {
    this.server.close()
  }
}

function pass (from, to, delayMs) {
  const later = action => setTimeout(() => { if (!to.destroyed) action() }, delayMs)
  from.on('data', chunk => later(() => to.write(chunk)))
  from.on('end', () => later(() => to.end()))
  from.on('error', () => {})
  from.on('close', hasError => later(() => { if (hasError) to.destroy() }))
}
