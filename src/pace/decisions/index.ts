export * from './ModelPace.js';
export * from './ModelPaceAverages.js';
export * from './PaceEstimator.js';
export * from './StreamPace.js';
export * from './describePace.js';
export * from './pacePenalty.js';
export * from './PlainDelays.js';
export * from './roomPenalty.js';
