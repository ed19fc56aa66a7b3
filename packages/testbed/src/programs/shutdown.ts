/** Ends a program on SIGTERM or SIGINT after it has stopped what it started. @internal */
export function stopOnSignal (stop: () => Promise<void>): void {
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => { stop().finally(() => process.exit(0)) })
  }
}
