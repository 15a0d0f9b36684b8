export * from './Clock.js';
export * from './ByteBudget.js';
export * from './SystemClock.js';
export * from './PeriodicTask.js';
export * from './delay.js';
export * from './runInBackground.js';
export * from './Random.js';
export * from './ServiceContainer.js';
