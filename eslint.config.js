import jsdoc from 'eslint-plugin-jsdoc'
import neostandard from 'neostandard'

export default [
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**', 'reports/**'] },
  ...neostandard({ ts: true, env: ['node', 'mocha'] }),
  {
    files: ['packages/*/src/**/*.ts'],
    ignores: ['**/*.test.ts'],
    plugins: { jsdoc },
    rules: {
      'jsdoc/require-jsdoc': ['error', {
        publicOnly: true,
        require: { ClassDeclaration: true, FunctionDeclaration: true },
        contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration', 'ExportNamedDeclaration > VariableDeclaration'],
        checkConstructors: false,
        enableFixer: false
      }],
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }]
    }
  },
  {
    files: ['**/*.test.ts'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off', 'no-unused-expressions': 'off' }
  }
]
