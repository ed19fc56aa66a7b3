#!/usr/bin/env node
/** Writes `docs/fault-matrix.md` from the code. */
import { writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { FAULT_MATRIX } from '../matrix/faultMatrix.js'
import { renderMatrix } from '../matrix/renderMatrix.js'

writeFileSync(fileURLToPath(new URL('../../../../docs/fault-matrix.md', import.meta.url)), renderMatrix(FAULT_MATRIX))
