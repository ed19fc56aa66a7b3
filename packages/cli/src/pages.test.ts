import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { declarationSchema, parseWith, settingsSchema } from '@carobpitch/schema'
import { EXIT } from './exitCodes.js'

function pageOf (name: string): string {
  return readFileSync(new URL(`../../../docs/${name}`, import.meta.url), 'utf8')
}

function firstJsonOf (page: string): unknown {
  return JSON.parse(/```json\n([\s\S]*?)```/.exec(page.replaceAll(/^ {3}/gm, ''))?.[1] ?? '')
}

/** Lists the paths of a document's leaves; lists count as leaves. */
function leavesOf (value: object, prefix = ''): string[] {
  return Object.entries(value).flatMap(([key, part]) =>
    typeof part === 'object' && part !== null && !Array.isArray(part) ? leavesOf(part, `${prefix}${key}.`) : [`${prefix}${key}`])
}

describe('the pages for operators', () => {
  it('show settings that are valid and name every key, guarding against a page that falls behind the schema', () => {
    const page = pageOf('settings.md')
    const example = firstJsonOf(page) as object
    const parsed = parseWith(settingsSchema, example)
    expect(parsed.isErr ? parsed.error : []).to.deep.equal([])
    expect(Object.keys(example)).to.have.members(Object.keys(settingsSchema.shape))
    // The parsed settings hold every nested key that has a default as well.
    for (const leaf of leavesOf(parsed.unwrapOr({} as never))) expect(page).to.include(`\`${leaf}\``)
  })

  it('show a declaration that is valid', () => {
    const parsed = parseWith(declarationSchema, firstJsonOf(pageOf('operators.md')))
    expect(parsed.isErr ? parsed.error : []).to.deep.equal([])
  })

  it('list every exit code', () => {
    for (const code of Object.values(EXIT)) expect(pageOf('operators.md')).to.match(new RegExp(`^\\| ${code} \\|`, 'm'))
  })
})
