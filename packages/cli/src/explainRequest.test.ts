import { expect } from 'chai'
import { explainRequest, parseLogLine } from './explainRequest.js'

const LOG = [
  'time=2026-01-01T00:00:02.000Z level=info event=request.ended instance=front-1 requestId=r1 outcome=connection-lost status=502 verdict=may-have-run attempts=1 elapsedMs=120 objectiveMs=600 configurationVersion=7',
  'time=2026-01-01T00:00:01.000Z level=info event=request.sent instance=front-1 requestId=r1 targetId=i-1 attempt=1 factor=1.02 reportAgeMs=3 freeSlots=2 waitedMs=5 isCold=false',
  'time=2026-01-01T00:00:01.500Z level=info event=request.sent instance=front-1 requestId=r11 targetId=i-2 attempt=1',
  'time=2026-01-01T00:00:01.900Z level=info event=attempt.failed instance=front-1 requestId=r1 targetId=i-1 attempt=1 reason="connection-lost" verdict=may-have-run elapsedMs=110'
].join('\n')

describe('explainRequest', () => {
  it('describes the lines of one request in chronological order', () => {
    const lines = explainRequest('r1', [LOG])
    expect(lines).to.have.length(3)
    expect(lines[0]).to.match(/attempt 1 sent to i-1 after 5 ms/)
    expect(lines[1]).to.match(/connection-lost; the request may have run/)
    expect(lines[2]).to.match(/status 502, after 120 ms \(objective 600 ms\)/)
  })

  it('guards against lines of a request whose id only has the same prefix', () => {
    expect(explainRequest('r1', [LOG]).join('\n')).not.to.match(/i-2/)
    expect(explainRequest('r2', [LOG])).to.deep.equal([])
  })

  it('reads quoted values', () => {
    expect(parseLogLine('event=x reason="no answer after 1000 ms" key=a/b')).to.deep.equal({ event: 'x', reason: 'no answer after 1000 ms', key: 'a/b' })
  })
})
