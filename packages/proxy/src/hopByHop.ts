/** Headers that hold for one connection only. */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/** Whether a header holds for one connection only, by its lower-case name. @internal */
export function isHopByHop (name: string): boolean {
  return HOP_BY_HOP.has(name)
}
