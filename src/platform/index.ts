export * from './ObjectStore.js';
export * from './InstanceList.js';
export * from './PlatformHttp.js';
export * from './HttpObjectStore.js';
export * from './HttpInstanceList.js';
export * from './updateAndResolve.js';
