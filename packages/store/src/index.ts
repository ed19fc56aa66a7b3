export * from './KeyValueStore.js'
export { EtcdStore, type EtcdStoreOptions } from './EtcdStore.js'
