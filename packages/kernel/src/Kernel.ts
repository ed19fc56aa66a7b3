import type { Service } from './Service.js'

/**
 * The services of a process by name. Packages extend this interface by module augmentation,
 * so that `kernel.get` is typed although the kernel depends on no service.
 * @public
 */
export interface ServiceMap {}

/**
 * Registry of the services of one process. Services look each other up by name.
 * They start in order of registration and stop in reverse order.
 * @public
 */
export class Kernel {
  private readonly services = new Map<string, Service>()
  private started: Service[] = []

  /**
   * Registers a service under a name.
   * @throws Error when the name is taken, which is a programming error.
   */
  register<Name extends keyof ServiceMap & string> (name: Name, service: ServiceMap[Name] & Service): void {
    if (this.services.has(name)) throw new Error(`service ${name} is already registered`)
    this.services.set(name, service)
  }

  /**
   * Returns a registered service.
   * @throws Error when the name is unknown, which is a programming error.
   */
  get<Name extends keyof ServiceMap & string> (name: Name): ServiceMap[Name] {
    const service = this.services.get(name)
    if (service === undefined) throw new Error(`service ${name} is not registered`)
    return service as ServiceMap[Name]
  }

  /** Starts all services in order of registration. On the first failure it stops those already started and rejects. */
  async start (): Promise<void> {
    for (const service of this.services.values()) {
      try {
        await service.start?.()
      } catch (error) {
        await this.stop()
        throw error
      }
      this.started.push(service)
    }
  }

  /** Stops the started services in reverse order. */
  async stop (): Promise<void> {
    const services = this.started.reverse()
    this.started = []
    for (const service of services) await service.stop?.()
  }

  /** Returns the state of every service that implements `dump`, by name. */
  dump (): Record<string, unknown> {
    const state: Record<string, unknown> = {}
    for (const [name, service] of this.services) {
      if (service.dump !== undefined) state[name] = service.dump()
    }
    return state
  }
}
