import { CaseRecord } from './CaseRecord.mjs'
import { FrontFleet } from './FrontFleet.mjs'

const TIME_MAX_MS = 110_000

/** Runs the script of a case, which writes to `recordFile`: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runScript (recordFile, script) {
  const record = new CaseRecord(recordFile)
  const fleet = new FrontFleet()
  const endings = []
  const abandon = reason => {
    console.error(`the case could not run: ${reason}`)
    for (const front of fleet.processes) front.child?.kill('SIGKILL')
    process.exit(2)
  }
  const watchdog = setTimeout(() => abandon('it took too long'), TIME_MAX_MS)
  process.on('uncaughtException', error => abandon(error.stack))
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => abandon(`it got ${signal}`))
  let code = 2
  try {
    const { isBroken, text } = await script({ record, fleet, hasTrouble: process.env.TROUBLE !== '0', atEnd: ending => endings.push(ending) })
    record.add('result', { isBroken, text: `"${text}"` })
    console.log(text)
    code = isBroken ? 1 : 0
  } catch (error) {
    console.error(`the case could not run: ${error.stack}`)
  }
  await fleet.stop()
  for (const ending of endings) await ending()
  await record.close()
  clearTimeout(watchdog)
  process.exit(code)
}

export const pause = async durationMs => await new Promise(resolve => setTimeout(resolve, durationMs))
