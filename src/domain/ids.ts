/**
 * Nominally typed string that only its constructor function creates, so that ids of different kinds cannot be mixed up.
 */
type Branded<Brand extends string> = string & { readonly brand: Brand };

/** Identifies a customer of the platform. */
export type OrganisationId = Branded<'OrganisationId'>;
/** Identifies a service published by an operator. */
export type ServiceId = Branded<'ServiceId'>;
/** Identifies a model, in the form `service/model`. */
export type ModelId = Branded<'ModelId'>;
/** Identifies an adapter of a model, in the form `service/model:adapter`. */
export type AdapterId = Branded<'AdapterId'>;
/** Identifies a backend server. */
export type ServerId = Branded<'ServerId'>;
/** Identifies a router. */
export type RouterId = Branded<'RouterId'>;
/** Identifies a data centre. */
export type DataCentreId = Branded<'DataCentreId'>;
/** Identifies an attempt at a request; unique across all routers and restarts. */
export type AttemptId = Branded<'AttemptId'>;
/** Identifies a request; unique across all routers and restarts. */
export type RequestId = Branded<'RequestId'>;

export const toOrganisationId = (text: string): OrganisationId => text as OrganisationId;
export const toServiceId = (text: string): ServiceId => text as ServiceId;
export const toModelId = (text: string): ModelId => text as ModelId;
export const toAdapterId = (text: string): AdapterId => text as AdapterId;
export const toServerId = (text: string): ServerId => text as ServerId;
export const toRouterId = (text: string): RouterId => text as RouterId;
export const toDataCentreId = (text: string): DataCentreId => text as DataCentreId;
export const toRequestId = (text: string): RequestId => text as RequestId;

/**
 * Creates the id of an attempt.
 * @param requestId - Id of the request.
 * @param ordinal - Number of the attempt, starting at 1.
 */
export const toAttemptId = (requestId: RequestId, ordinal: number): AttemptId =>
  `${requestId}.${ordinal}` as AttemptId;
