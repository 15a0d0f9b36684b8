export * from './BackendClient.js';
export * from './HttpBackendClient.js';
export * from './LoadLimiter.js';
export * from './ResidencyService.js';
export * from './AttemptRunner.js';
export * from './AgentService.js';
export * from './decisions/index.js';
