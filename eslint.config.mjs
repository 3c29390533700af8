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
    // A test keeps its naive and broken variants beside it, an experiment its actors.
    files: ['**/*.test.ts', 'bench/**'],
    rules: { 'max-classes-per-file': 'off', 'no-param-reassign': ['error', { props: false }] },
  },
  {
    rules: {
      // Prettier owns the layout of the code.
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
      // The house style asks for one task per connection and per peer, written straight down:
      // loops that await in turn are that style, so these two rules give way to it.
      'no-await-in-loop': 'off',
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use Object.keys or Object.entries.' },
        { selector: 'LabeledStatement', message: 'Labels make control flow hard to follow.' },
        { selector: 'WithStatement', message: 'with is not allowed in strict mode.' },
      ],
      'no-continue': 'off',
      // void marks a promise that nothing waits for, which no-floating-promises asks for.
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
