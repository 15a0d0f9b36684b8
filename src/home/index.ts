export * from './AgentLinks.js';
export * from './PlacementReviewer.js';
export * from './HomeService.js';
export * from './ClaimsService.js';
export * from './PacerService.js';
export * from './PermitDesk.js';
export * from './decisions/index.js';
