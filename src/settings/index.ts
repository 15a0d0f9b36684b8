export * from './DaemonSettings.js';
export * from './ServiceFile.js';
export * from './readSettings.js';
export * from './SettingsReloader.js';
