export * from './decisions/index.js';
export * from './Catalogue.js';
export * from './StateWatcher.js';
