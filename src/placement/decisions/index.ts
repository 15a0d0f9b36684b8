export * from './ServerPace.js';
export * from './CopyValues.js';
export * from './TurnTaking.js';
