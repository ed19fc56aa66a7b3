export { createDaemon } from './Daemon.js'
