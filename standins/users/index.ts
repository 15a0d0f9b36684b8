export * from './ObjectStore.js';
export * from './Worker.js';
export * from './PlainWorker.js';
export * from './ModelWorker.js';
