export * from './TrafficMeter.js';
export * from './PeerConnection.js';
export * from './ListenError.js';
export * from './listenOrThrow.js';
export * from './PortListener.js';
export * from './PeerServer.js';
export * from './PeerDialer.js';
export * from './pollSockets.js';
