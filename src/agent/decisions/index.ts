export * from './MemoryLedger.js';
export * from './GrantTable.js';
export * from './EngineState.js';
export * from './ResidencyController.js';
export * from './AttemptTable.js';
