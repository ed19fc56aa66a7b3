import { expect } from 'chai'
import { EXIT } from './exitCodes.js'
import { diffSettings, findInstance, formatFleetSettings, isUniform, readFleetSettings, type InstanceSettings } from './fleetSettings.js'

const MEMBERS = ['front-1', 'front-2', 'front-3'].map((instanceId, index) => ({ instanceId, callerUrl: `http://10.0.0.${index + 1}:8548` }))

function dump (fields: { digest?: string, version?: number, needsRestart?: string[], probes?: number } = {}): unknown {
  const { digest = 'd1', version = 7, needsRestart = [], probes = 60 } = fields
  return { settings: { digest, adoptedAtEpochMs: 1_000, needsRestart, shared: { probesPerTargetAndS: probes, stopGraceMs: 6_000 } }, knowledge: { configurationVersion: version, members: MEMBERS } }
}

/** Reads a fleet whose instances respond with the given dumps, by host; a host without one does not respond. */
async function read (dumps: Record<string, unknown>): Promise<InstanceSettings[]> {
  return await readFleetSettings('http://10.0.0.1:9464', async url => {
    const { hostname, port } = new URL(url)
    expect(port).to.equal('9464')
    if (dumps[hostname] === undefined) throw new Error('connect ECONNREFUSED')
    return dumps[hostname]
  })
}

describe('the settings of a fleet', () => {
  it('are uniform if all instances run the same settings and configuration', async () => {
    const instances = await read({ '10.0.0.1': dump(), '10.0.0.2': dump(), '10.0.0.3': dump() })
    expect(isUniform(instances)).to.equal(true)
    expect(formatFleetSettings(instances)).to.match(/d1 +7 +- +1970-01-01 00:00:01Z +3 +front-1 front-2 front-3/)
  })

  for (const [name, other] of Object.entries({
    'other settings': dump({ digest: 'd2' }),
    'another configuration': dump({ version: 6 }),
    'a file that needs a restart': dump({ needsRestart: ['storeUrl'] }),
    'no response': undefined,
    'a response of another program': { hello: 'world' }
  })) {
    it(`guards against an instance with ${name} that goes unnoticed`, async () => {
      const instances = await read({ '10.0.0.1': dump(), '10.0.0.2': other, '10.0.0.3': dump() })
      expect(isUniform(instances)).to.equal(false)
      expect(formatFleetSettings(instances).split('\n')).to.have.length(3)
    })
  }

  it('differ by name between two instances', async () => {
    const instances = await read({ '10.0.0.1': dump(), '10.0.0.2': dump({ digest: 'd2', probes: 30 }) })
    expect(diffSettings(findInstance(instances, 'front-1'), findInstance(instances, 'front-2'))).to.deep.equal(['probesPerTargetAndS: 60 / 30'])
    expect(() => findInstance(instances, 'front-3')).to.throw().with.property('exitCode', EXIT.unavailable)
    expect(() => findInstance(instances, 'front-9')).to.throw().with.property('exitCode', EXIT.notFound)
  })

  it('guards against an empty answer when the first instance does not respond', async () => {
    expect(await read({}).catch((error: { exitCode: number }) => error.exitCode)).to.equal(EXIT.unavailable)
  })
})
