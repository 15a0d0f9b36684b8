export * from './ConnectionGuard.js';
export * from './IngressLimits.js';
