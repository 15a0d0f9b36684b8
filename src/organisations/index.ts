export * from './Organisation.js';
export * from './KeyDirectory.js';
export * from './OrganisationDirectory.js';
export * from './RequestAuthorizer.js';
