export * from './KeyValueStore.js'
export { EtcdStore, type EtcdStoreOptions, type StoreCallCounts } from './EtcdStore.js'
