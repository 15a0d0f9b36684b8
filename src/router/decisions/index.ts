export * from './RetryBudget.js';
export * from './BudgetSlices.js';
export * from './ResponseAssembler.js';
