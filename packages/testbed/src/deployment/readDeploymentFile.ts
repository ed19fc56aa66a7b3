import { readFileSync } from 'node:fs'
import { parseJsonWith } from '@carobpitch/schema'
import { deploymentFileSchema, type DeploymentFile } from './DeploymentFile.js'

/**
 * Reads and validates a deployment file.
 * @throws Error whose message lists every violation.
 * @public
 */
export function readDeploymentFile (path: string): DeploymentFile {
  const parsed = parseJsonWith(deploymentFileSchema, readFileSync(path, 'utf8'))
  if (parsed.isOk) return parsed.value
  throw new Error(parsed.error.map(violation => `${path}: ${violation.path}: ${violation.message}`).join('\n'))
}
