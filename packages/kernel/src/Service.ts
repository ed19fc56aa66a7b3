/**
 * A component that the kernel starts, stops and dumps.
 * @public
 */
export interface Service {
  /** Starts the service. A rejection aborts the start of the process. */
  start?(): Promise<void>
  /** Stops the service. Called in reverse order of registration. */
  stop?(): Promise<void>
  /** Returns a JSON-serializable view of the service's state, without credentials. */
  dump?(): unknown
}
