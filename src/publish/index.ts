export * from './collectFiles.js';
export * from './diff.js';
export * from './Publisher.js';
