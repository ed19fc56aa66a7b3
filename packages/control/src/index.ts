export { applyOperations, isSameIntent } from './applyOperations.js'
export { decodeConfiguration, encodeConfiguration, STORED_SIZE_MAX_BYTES } from './configurationCodec.js'
export { isTargetIn } from './ConfigurationDraft.js'
export { withdrawalsOf } from './withdrawals.js'
