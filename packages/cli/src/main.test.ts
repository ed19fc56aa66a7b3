import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'

const TOOL = fileURLToPath(new URL('./main.js', import.meta.url))

describe('carobpitch program', () => {
  it('ends normally when the reader of its output closes the pipe, guarding against a crash in scripts', async () => {
    const child = spawn(process.execPath, [TOOL, '--help'], { stdio: ['ignore', 'pipe', 'pipe'] })
    child.stdout.destroy()
    let errors = ''
    child.stderr.on('data', chunk => { errors += String(chunk) })
    const [code] = await once(child, 'close')
    expect(errors).to.equal('')
    expect(code).to.equal(0)
  })
})
