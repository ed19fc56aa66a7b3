import type {
  Configuration, Declaration, DeclaredTarget, FailureDomainId, Operation, ServiceName, TargetConfiguration, TargetId, Violation
} from '@carobpitch/schema'

/**
 * Working copy of a configuration to which operations are applied. Collects all violations instead of stopping at the first.
 * @internal
 */
export class ConfigurationDraft {
  readonly violations: Violation[] = []
  readonly document: Configuration
  private readonly base: Configuration

  constructor (base: Configuration) {
    this.base = base
    this.document = { ...structuredClone(base), revision: base.revision + 1 }
  }

  /** Applies one operation. `path` locates it in violations. */
  apply (operation: Operation, path: string): void {
    switch (operation.kind) {
      case 'take-domain-out': return this.setDomainState(operation.failureDomain, 'out', path)
      case 'return-domain': return this.setDomainState(operation.failureDomain, 'in', path)
      case 'add-domain': return this.addDomain(operation.failureDomain, path)
      case 'remove-domain': return this.removeDomain(operation.failureDomain, path)
      case 'take-targets-out': return this.setTargetStates(operation.targets, 'out', path)
      case 'bring-targets-in': return this.setTargetStates(operation.targets, 'in', path)
      case 'add-target': return this.addTarget(operation.targetId, operation.target, path)
      case 'change-target': return this.changeTarget(operation.targetId, operation.change, path)
      case 'remove-target': return this.removeTarget(operation.targetId, path)
      case 'add-service': return this.addService(operation, path)
      case 'change-service': return this.changeService(operation, path)
      case 'remove-service': return this.removeService(operation.service, path)
      case 'apply-declaration': return this.applyDeclaration(operation.declaration, path)
    }
  }

  /**
   * Sets `broughtInRevision` of every target that the change brings in to the new revision, so that it starts cold.
   * Targets that were already in keep the old value, because an operation without effect must not turn warm targets cold.
   */
  updateBroughtInRevisions (): void {
    for (const [id, target] of Object.entries(this.document.targets) as Array<[TargetId, TargetConfiguration]>) {
      if (!isTargetIn(this.document, target)) continue
      const before = getOwnValue(this.base.targets, id)
      const wasAlreadyIn = before !== undefined && isTargetIn(this.base, before) && !isDifferentBackEnd(before, target)
      if (!wasAlreadyIn) target.broughtInRevision = this.document.revision
    }
  }

  private setDomainState (id: FailureDomainId, state: 'in' | 'out', path: string): void {
    const domain = getOwnValue(this.document.failureDomains, id)
    if (domain === undefined) return this.addViolation(`${path}.failureDomain`, `unknown failure domain ${id}`)
    domain.state = state
  }

  private addDomain (id: FailureDomainId, path: string): void {
    if (Object.hasOwn(this.document.failureDomains, id)) return this.addViolation(`${path}.failureDomain`, `failure domain ${id} already exists`)
    this.document.failureDomains[id] = { state: 'in' }
  }

  private removeDomain (id: FailureDomainId, path: string): void {
    if (!Object.hasOwn(this.document.failureDomains, id)) return this.addViolation(`${path}.failureDomain`, `unknown failure domain ${id}`)
    const dependentTargetIds = this.findTargetIds(target => target.failureDomain === id)
    if (dependentTargetIds.length > 0) return this.addViolation(`${path}.failureDomain`, `failure domain ${id} still has targets: ${dependentTargetIds.join(', ')}`)
    delete this.document.failureDomains[id]
  }

  private setTargetStates (ids: readonly TargetId[], state: 'in' | 'out', path: string): void {
    ids.forEach((id, index) => {
      const target = getOwnValue(this.document.targets, id)
      if (target === undefined) return this.addViolation(`${path}.targets.${index}`, `unknown target ${id}`)
      target.state = state
    })
  }

  private addTarget (id: TargetId, { state = 'in', ...target }: DeclaredTarget, path: string): void {
    if (Object.hasOwn(this.document.targets, id)) return this.addViolation(`${path}.targetId`, `target ${id} already exists`)
    this.checkReferences(target, `${path}.target`)
    this.document.targets[id] = { ...target, state, broughtInRevision: this.document.revision }
  }

  private changeTarget (id: TargetId, change: Partial<TargetConfiguration>, path: string): void {
    const target = getOwnValue(this.document.targets, id)
    if (target === undefined) return this.addViolation(`${path}.targetId`, `unknown target ${id}`)
    const changed = { ...target, ...omitUndefined(change) }
    this.checkReferences(changed, `${path}.change`)
    this.document.targets[id] = changed
  }

  private removeTarget (id: TargetId, path: string): void {
    if (!Object.hasOwn(this.document.targets, id)) return this.addViolation(`${path}.targetId`, `unknown target ${id}`)
    delete this.document.targets[id]
  }

  private addService ({ service, configuration }: Operation & { kind: 'add-service' }, path: string): void {
    if (Object.hasOwn(this.document.services, service)) return this.addViolation(`${path}.service`, `service ${service} already exists`)
    this.document.services[service] = configuration
  }

  private changeService ({ service, change }: Operation & { kind: 'change-service' }, path: string): void {
    const configuration = getOwnValue(this.document.services, service)
    if (configuration === undefined) return this.addViolation(`${path}.service`, `unknown service ${service}`)
    this.document.services[service] = { ...configuration, ...omitUndefined(change) }
  }

  private removeService (service: ServiceName, path: string): void {
    if (!Object.hasOwn(this.document.services, service)) return this.addViolation(`${path}.service`, `unknown service ${service}`)
    const dependentTargetIds = this.findTargetIds(target => target.service === service)
    if (dependentTargetIds.length > 0) return this.addViolation(`${path}.service`, `service ${service} still has targets: ${dependentTargetIds.join(', ')}`)
    delete this.document.services[service]
  }

  /** Makes the document match the declaration; states that it does not specify stay as they are. */
  private applyDeclaration (declaration: Declaration, path: string): void {
    this.document.services = structuredClone(declaration.services)
    for (const id of Object.keys(this.document.targets) as TargetId[]) {
      if (!Object.hasOwn(declaration.targets, id)) delete this.document.targets[id]
    }
    for (const id of Object.keys(this.document.failureDomains) as FailureDomainId[]) {
      if (!Object.hasOwn(declaration.failureDomains, id)) delete this.document.failureDomains[id]
    }
    for (const [key, { state }] of Object.entries(declaration.failureDomains)) {
      const id = key as FailureDomainId
      if (!Object.hasOwn(this.document.failureDomains, id)) this.document.failureDomains[id] = { state: 'in' }
      if (state !== undefined) this.setDomainState(id, state, path)
    }
    for (const [key, declared] of Object.entries(declaration.targets)) {
      this.applyDeclaredTarget(key as TargetId, declared, `${path}.declaration.targets.${key}`)
    }
  }

  private applyDeclaredTarget (id: TargetId, declared: DeclaredTarget, path: string): void {
    if (!Object.hasOwn(this.document.targets, id)) return this.addTarget(id, declared, path)
    const { state, ...change } = declared
    this.changeTarget(id, change, path)
    if (state !== undefined) this.setTargetStates([id], state, path)
  }

  private checkReferences ({ service, failureDomain }: Pick<TargetConfiguration, 'service' | 'failureDomain'>, path: string): void {
    if (!Object.hasOwn(this.document.services, service)) this.addViolation(`${path}.service`, `unknown service ${service}`)
    if (!Object.hasOwn(this.document.failureDomains, failureDomain)) this.addViolation(`${path}.failureDomain`, `unknown failure domain ${failureDomain}`)
  }

  private findTargetIds (matches: (target: TargetConfiguration) => boolean): string[] {
    return Object.entries(this.document.targets).filter(([, target]) => matches(target)).map(([id]) => id)
  }

  private addViolation (path: string, message: string): void {
    this.violations.push({ path, message })
  }
}

/** Returns an own property, because ids such as `constructor` are valid and must not match inherited properties. @internal */
export function getOwnValue<Key extends string, Value> (record: Partial<Record<Key, Value>>, key: Key): Value | undefined {
  return Object.hasOwn(record, key) ? record[key] : undefined
}

/** Whether a target may receive new work: its own state and its failure domain's must be `in`. @public */
export function isTargetIn (configuration: Configuration, target: TargetConfiguration): boolean {
  return target.state === 'in' && getOwnValue(configuration.failureDomains, target.failureDomain)?.state === 'in'
}

/** Whether a change makes a target id refer to a different back end. @internal */
export function isDifferentBackEnd (before: TargetConfiguration, after: TargetConfiguration): boolean {
  return before.url !== after.url || before.service !== after.service
}

function omitUndefined<Part extends object> (part: Part): Part {
  return Object.fromEntries(Object.entries(part).filter(([, value]) => value !== undefined)) as Part
}
