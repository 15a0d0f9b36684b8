export * from './MemoryLedger.js';
export * from './GrantTable.js';
export * from './EngineState.js';
export * from './OrderSequencer.js';
export * from './ResidentItem.js';
export * from './ResidencyController.js';
export * from './AttemptTable.js';
