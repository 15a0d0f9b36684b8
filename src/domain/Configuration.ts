import type { RequestClass } from './Request.js';

/** A model of a service. */
export interface ModelConfiguration {
  readonly name: string;
  readonly version: string;
  /** Memory for the weights, in bytes. */
  readonly weightBytes: number;
  /** Memory for the KV cache, in bytes. */
  readonly kvCacheBytes: number;
  readonly adapters: readonly AdapterConfiguration[];
}

/** An adapter of a model. */
export interface AdapterConfiguration {
  readonly name: string;
  readonly sizeBytes: number;
}

/** How a service weighs its two measures against each other; both at least 0. */
export interface CostWeights {
  /** Cost of one second that a caller waits for a cold start. */
  readonly coldStartSecond: number;
  /** Cost of one hour of an accelerator that holds the model without work. */
  readonly idleAcceleratorHour: number;
}

/** A service as published by an operator. */
export interface ServiceConfiguration {
  readonly service: string;
  readonly kind: 'model' | 'plain';
  /** Pool of backend servers that the service runs on. */
  readonly pool: string;
  readonly organisations: readonly string[];
  readonly models: readonly ModelConfiguration[];
  /** Most replicas of each model that may ever be loaded. */
  readonly maxReplicas: number;
  readonly weighing: CostWeights;
  readonly requestClass: RequestClass;
  /** Deadline of a request that names none, in milliseconds. */
  readonly defaultDeadlineMs: number;
  /** Whether requests may be repeated when their outcome is unknown. */
  readonly idempotent: boolean;
}

/** An organisation as published by an operator. */
export interface OrganisationConfiguration {
  readonly organisation: string;
  /** SHA-256 of each valid bearer token, in hexadecimal. */
  readonly tokenSha256s: readonly string[];
  /** Most tokens generated in one UTC day; absent for no limit. */
  readonly tokensPerDay?: number;
}

/** An instance as the platform lists it. */
export interface InstanceEntry {
  readonly id: string;
  readonly role: 'router' | 'agent';
  readonly dataCentre: string;
  /** Host and port of the peer listener. */
  readonly peerAddress: string;
  /** Pool of the backend server; empty for a router. */
  readonly pool: string;
  readonly state: 'live' | 'leaving';
}

/** One server's right to load a model. */
export interface Grant {
  readonly serverId: string;
  readonly grantNumber: number;
  /** A revoking server may no longer load, but may still hold the model. */
  readonly state: 'active' | 'revoking';
}

/** What was decided for a model; one object of the platform per model. */
export interface Placement {
  readonly modelId: string;
  readonly decidedReplicas: number;
  readonly lastGrantNumber: number;
  readonly grants: readonly Grant[];
}

/** An object of the platform with the version that its value has. */
export interface Versioned<T> {
  readonly value: T;
  readonly version: number;
}
