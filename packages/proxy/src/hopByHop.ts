/** Headers that apply to a single connection. */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/** Whether a header, given by its lower-case name, applies to a single connection and is not forwarded. @internal */
export function isHopByHop (name: string): boolean {
  return HOP_BY_HOP.has(name)
}
