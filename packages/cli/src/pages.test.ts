import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { declarationSchema, parseWith, settingsSchema } from '@carobpitch/schema'
import { EXIT } from './exitCodes.js'

function readPage (name: string): string {
  return readFileSync(new URL(`../../../docs/${name}`, import.meta.url), 'utf8')
}

function firstJsonBlock (page: string): unknown {
  return JSON.parse(/```json\n([\s\S]*?)```/.exec(page.replaceAll(/^ {3}/gm, ''))?.[1] ?? '')
}

/** Lists the paths of a document's leaves. Arrays count as leaves. */
function leafPaths (value: object, prefix = ''): string[] {
  return Object.entries(value).flatMap(([key, part]) =>
    typeof part === 'object' && part !== null && !Array.isArray(part) ? leafPaths(part, `${prefix}${key}.`) : [`${prefix}${key}`])
}

describe('the pages for operators', () => {
  it('show settings that are valid and name every key, guarding against a page that lacks settings of the schema', () => {
    const page = readPage('settings.md')
    const example = firstJsonBlock(page) as object
    const parsed = parseWith(settingsSchema, example)
    expect(parsed.isErr ? parsed.error : []).to.deep.equal([])
    expect(Object.keys(example)).to.have.members(Object.keys(settingsSchema.shape))
    // Parsing fills in defaults, so the parsed settings include nested keys that the example omits.
    for (const leaf of leafPaths(parsed.unwrapOr({} as never))) expect(page).to.include(`\`${leaf}\``)
  })

  it('show a declaration that is valid', () => {
    const parsed = parseWith(declarationSchema, firstJsonBlock(readPage('operators.md')))
    expect(parsed.isErr ? parsed.error : []).to.deep.equal([])
  })

  it('list every exit code', () => {
    for (const code of Object.values(EXIT)) expect(readPage('operators.md')).to.match(new RegExp(`^\\| ${code} \\|`, 'm'))
  })
})
