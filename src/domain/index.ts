export * from './ids.js';
export * from './Verdict.js';
export * from './Refusal.js';
export * from './Request.js';
export * from './Configuration.js';
export * from './PeerMessages.js';
export * from './paths.js';
export * from './RouterCounts.js';
