export * from './RetryBudget.js';
export * from './BudgetSlices.js';
export * from './AnswerAssembler.js';
