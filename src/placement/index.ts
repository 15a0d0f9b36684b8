export * from './PaceSource.js';
export * from './decisions/index.js';
export * from './ModelPlacer.js';
