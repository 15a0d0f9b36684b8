export * from './decisions/index.js';
export * from './PaceReporter.js';
