export * from './StandInStore.js'
export * from './StandInTarget.js'
