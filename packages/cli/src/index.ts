export { EXIT, type ExitCode } from './exitCodes.js'
export { runTool, type RunToolOptions } from './runTool.js'
export type { ToolOutput } from './ToolContext.js'
