export * from './MemoryLedger.js';
export * from './GrantTable.js';
export * from './EngineState.js';
export * from './OrderBook.js';
export * from './ResidentItem.js';
export * from './ResidencyController.js';
export * from './AttemptTable.js';
