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

/** Weights of the two costs that the scheduling of a service trades off; both at least 0. */
export interface CostWeights {
  /** Cost of one second of cold start wait. */
  readonly coldStartSecond: number;
  /** Cost of one hour of an accelerator that holds the model while idle. */
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
  /** Maximum number of replicas per model. */
  readonly maxReplicas: number;
  readonly weighing: CostWeights;
  readonly requestClass: RequestClass;
  /** Timeout of a request that specifies none, in milliseconds. */
  readonly defaultDeadlineMs: number;
  /** Whether requests may be retried when their outcome is unknown. */
  readonly idempotent: boolean;
}

/** An organisation as published by an operator. */
export interface OrganisationConfiguration {
  readonly organisation: string;
  /** SHA-256 of each valid bearer token, in hexadecimal. */
  readonly tokenSha256s: readonly string[];
  /** Maximum number of tokens generated per UTC day; absent for no limit. */
  readonly tokensPerDay?: number;
}

/** An instance as listed by the platform. */
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

/** Permission of a server to load a model. */
export interface Grant {
  readonly serverId: string;
  readonly grantNumber: number;
  /** While `revoking`, the server may no longer load the model but may still hold it. */
  readonly state: 'active' | 'revoking';
}

/** Placement decision for a model, stored as one platform object. */
export interface Placement {
  readonly modelId: string;
  readonly decidedReplicas: number;
  readonly lastGrantNumber: number;
  readonly grants: readonly Grant[];
}

/** Value of a platform object with its version. */
export interface Versioned<T> {
  readonly value: T;
  readonly version: number;
}
