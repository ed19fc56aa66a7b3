export { CallerListener, type CallerListenerOptions } from './CallerListener.js'
export { type AddressList, type ListedInstance } from './addressList.js'
export { statusOf, type Reason } from './Reason.js'
export * from './headers.js'
