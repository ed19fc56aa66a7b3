#!/usr/bin/env node
import { Command } from 'commander'

const EXIT_UNAVAILABLE = 3

const program = new Command('carobpitch')
  .description('Operator tool of the carobpitch load balancer')
  .requiredOption('--instance <url>', 'operator listener of any instance')
  .requiredOption('--token <token>', 'operator credential', process.env.CAROBPITCH_TOKEN)

program.command('dump').description('print the state of an instance as JSON').action(async () => {
  const { instance, token } = program.opts<{ instance: string, token: string }>()
  try {
    const answer = await fetch(`${instance}/dump`, { headers: { authorization: `Bearer ${token}` } })
    console.log(JSON.stringify(await answer.json(), null, 2))
  } catch (error) {
    console.error(`cannot reach ${instance}: ${(error as Error).message}`)
    process.exit(EXIT_UNAVAILABLE)
  }
})

await program.parseAsync()
