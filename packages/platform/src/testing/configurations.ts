/** Route of a test's configuration, in the platform's form. */
export interface WireRoute {
  host: string
  prefix: string
  'route-type': 'safe' | 'unsafe' | 'upload'
  timeout?: string
  'target-latency': string
  priority: number
  service?: string
  'traffic-split'?: Array<{ service: string, weight: number }>
  'max-attempts': number
  public?: boolean
}

/** Client account of a test's configuration, in the platform's form. */
export interface WireAccount {
  'api-keys': string[]
  priority?: number
  'rate-per-s'?: number
  burst?: number
}

/** Service of a test's configuration, in the platform's form. */
export const WIRE_SERVICE = { 'health-path': '/healthz', 'max-connections': 220, protocol: 'h1', tls: false, warmup: '3s', 'warmup-per-s': 3.1 }

/** Returns a route with defaults. */
export function wireRoute (route: Partial<WireRoute> = {}): WireRoute {
  return { host: 'shop.example', prefix: '/stock/', 'route-type': 'safe', timeout: '1200ms', 'target-latency': '600ms', priority: 2, service: 'menzaiko', 'max-attempts': 2, ...route }
}

const WIRE_LIMITS = { 'max-header-bytes': 16_384, 'max-body-bytes': 1_048_576, 'header-timeout': '3000ms', 'idle-timeout': '15000ms' }

/** Options of `wireConfiguration`. */
export interface WireConfigurationOptions {
  version?: number
  routes?: Record<string, WireRoute>
  services?: string[]
  /** Client accounts by name; none if it is missing. */
  accounts?: Record<string, WireAccount>
  /** Limits that differ from the defaults. */
  limits?: Partial<typeof WIRE_LIMITS>
}

/** Returns a configuration document as the operator writes it. */
export function wireConfiguration ({ version = 7, routes = { stock: wireRoute() }, services = ['menzaiko'], accounts, limits = {} }: WireConfigurationOptions = {}): string {
  return JSON.stringify({
    version,
    routes,
    services: Object.fromEntries(services.map(name => [name, WIRE_SERVICE])),
    limits: { ...WIRE_LIMITS, ...limits },
    tenants: accounts,
    'base-version': 1
  })
}
