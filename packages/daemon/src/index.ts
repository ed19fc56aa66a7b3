export { Daemon, readCredentials } from './Daemon.js'
