export * from './LateReadGuard.js';
