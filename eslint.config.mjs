import { configs, plugins } from 'eslint-config-airbnb-extended';
import tsdoc from 'eslint-plugin-tsdoc';

export default [
  {
    ignores: [
      'dist/**',
      'target/**',
      'journal/**',
      'dist-mutant/**',
      'node_modules/**',
      'bench/results/**',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    files: ['scripts/**'],
    languageOptions: { globals: { process: 'readonly' } },
    rules: { 'import-x/no-extraneous-dependencies': 'off', 'import-x/extensions': 'off' },
  },
  {
    files: ['**/*.ts'],
    plugins: { tsdoc },
    rules: { 'tsdoc/syntax': 'error' },
  },
  {
    // A test file may define fakes of several classes, and a benchmark the classes of its simulation.
    files: ['**/*.test.ts', 'bench/**'],
    rules: { 'max-classes-per-file': 'off', 'no-param-reassign': ['error', { props: false }] },
  },
  {
    rules: {
      // Prettier formats the code.
      '@stylistic/arrow-parens': 'off',
      '@stylistic/function-paren-newline': 'off',
      '@stylistic/implicit-arrow-linebreak': 'off',
      '@stylistic/indent': 'off',
      '@stylistic/max-len': [
        'error',
        { code: 120, ignoreStrings: true, ignoreTemplateLiterals: true },
      ],
      '@stylistic/no-confusing-arrow': 'off',
      '@stylistic/no-mixed-operators': 'off',
      '@stylistic/object-curly-newline': 'off',
      '@stylistic/operator-linebreak': 'off',
      '@stylistic/quotes': [
        'error',
        'single',
        { avoidEscape: true, allowTemplateLiterals: 'always' },
      ],
      '@stylistic/wrap-iife': 'off',
      // Each connection and each peer is handled by one sequential async function, whose loops await
      // each step in turn; these two rules would forbid such loops.
      'no-await-in-loop': 'off',
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use Object.keys or Object.entries.' },
        { selector: 'LabeledStatement', message: 'Labels make control flow hard to follow.' },
        { selector: 'WithStatement', message: 'with is not allowed in strict mode.' },
      ],
      'no-continue': 'off',
      // no-floating-promises requires void before a promise that is deliberately not awaited.
      'no-void': 'off',
      'no-console': 'off',
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': [
        'error',
        { ignoreClassesThatImplementAnInterface: true },
      ],
    },
  },
];
