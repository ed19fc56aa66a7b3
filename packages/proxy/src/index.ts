export { CallerListener, type CallerListenerOptions } from './CallerListener.js'
export * from './headers.js'
