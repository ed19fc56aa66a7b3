/** Exits the process on SIGTERM or SIGINT, after `stop` has settled. @internal */
export function stopOnSignal (stop: () => Promise<void>): void {
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => { stop().finally(() => process.exit(0)) })
  }
}
