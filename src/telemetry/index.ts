export * from './Metrics.js';
export * from './Log.js';
export * from './AuditTrail.js';
