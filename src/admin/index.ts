export * from './AdminServer.js';
