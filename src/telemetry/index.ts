export * from './Metrics.js';
export * from './MetricsServer.js';
export * from './Log.js';
export * from './BoundedOutput.js';
export * from './AuditTrail.js';
