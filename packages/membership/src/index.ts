export { PeerServer, type PeerServerOptions } from './transport/PeerServer.js'
export { PeerLinks, type PeerAddress, type PeerLinksOptions } from './transport/PeerLinks.js'
