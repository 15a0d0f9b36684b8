export * from './CreditBucket.js';
export * from './SpendMeter.js';
export * from './quotaTerms.js';
export * from './takeCredit.js';
export * from './QuotaPool.js';
export * from './IssuerFollowing.js';
export * from './QuotaShare.js';
