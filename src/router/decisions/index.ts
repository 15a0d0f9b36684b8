export * from './StateStore.js';
export * from './Membership.js';
export * from './RetryBudget.js';
export * from './BudgetSlices.js';
export * from './AnswerAssembler.js';
