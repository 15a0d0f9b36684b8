export * from './StateStore.js';
export * from './Membership.js';
