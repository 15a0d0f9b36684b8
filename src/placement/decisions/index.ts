export * from './ServerPace.js';
export * from './CopyValues.js';
