import tseslint from 'typescript-eslint';
import prettier from 'eslint-config-prettier';

/** Folders of pure decision functions, which may import only the domain and the kernel. */
const decisionFolders = [
  'src/home/decisions/**',
  'src/agent/decisions/**',
  'src/router/decisions/**',
  'src/state/decisions/**',
];

export default tseslint.config(
  { ignores: ['dist/**', 'target/**', 'node_modules/**'] },
  ...tseslint.configs.strict,
  ...tseslint.configs.stylistic,
  prettier,
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_', varsIgnorePattern: '^_' }],
    },
  },
  {
    files: decisionFolders,
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: [
                '**/platform/**',
                '**/transport/**',
                '**/admin/**',
                '**/daemon/**',
                '**/cli/**',
                '**/telemetry/**',
                'node:*',
                'undici',
                'ws',
              ],
              message: 'Decisions import the domain and the kernel alone.',
            },
          ],
        },
      ],
    },
  },
  {
    files: ['test/**/*.ts'],
    rules: {
      '@typescript-eslint/no-unused-expressions': 'off',
      '@typescript-eslint/no-non-null-assertion': 'off',
    },
  },
);
