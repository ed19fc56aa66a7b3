#!/usr/bin/env node
/** Runs the stand-in store in its own process. */
import { Command } from 'commander'
import { StandInStore } from '../StandInStore.js'
import { stopOnSignal } from './stopOnSignal.js'

const options = new Command('stand-in-store')
  .requiredOption('--port <port>', 'loopback port', Number)
  .parse().opts<{ port: number }>()

const store = new StandInStore()
await store.start(options.port)
stopOnSignal(() => store.stop())
console.log(`event=store.started url=${store.url()}`)
