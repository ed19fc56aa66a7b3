/**
 * Bundles the front program into one file under target/, from the sources of the packages, so that it starts quickly.
 * Usage: node scripts/bundle-front.mjs
 */
import { existsSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { build } from 'esbuild'

/** Resolves the packages of this repository to their sources, which need no earlier compilation. */
const ownPackages = {
  name: 'own-packages',
  setup ({ onResolve }) {
    onResolve({ filter: /^@carobpitch\// }, ({ path }) => {
      const source = resolve('packages', path.slice('@carobpitch/'.length), 'src/index.ts')
      return existsSync(source) ? { path: source, sideEffects: false } : undefined
    })
  }
}

await build({
  entryPoints: ['packages/daemon/src/front/main.ts'],
  outfile: join('target', 'carobpitch-front.mjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  plugins: [ownPackages],
  // Bundled CommonJS modules call `require` for modules of Node.
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" }
})
