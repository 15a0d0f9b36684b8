export * from './Clock.js';
export * from './SystemClock.js';
export * from './Repeater.js';
export * from './pause.js';
export * from './Random.js';
export * from './Kernel.js';
