/** A string that only its own constructor function can make, so that ids of two kinds never mix. */
type Branded<Brand extends string> = string & { readonly brand: Brand };

/** Names one customer of the platform. */
export type OrganisationId = Branded<'OrganisationId'>;
/** Names one service that an operator published. */
export type ServiceId = Branded<'ServiceId'>;
/** Names one model as `service/model`. */
export type ModelId = Branded<'ModelId'>;
/** Names one adapter of a model. */
export type AdapterId = Branded<'AdapterId'>;
/** Names one backend server. */
export type ServerId = Branded<'ServerId'>;
/** Names one router. */
export type RouterId = Branded<'RouterId'>;
/** Names one data centre. */
export type DataCentreId = Branded<'DataCentreId'>;
/** Names one attempt at one request; unique over all routers and restarts. */
export type AttemptId = Branded<'AttemptId'>;
/** Names one request; unique over all routers and restarts. */
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
 * Names an attempt at a request.
 * @param requestId - The request.
 * @param ordinal - Number of the attempt, from 1.
 */
export const toAttemptId = (requestId: RequestId, ordinal: number): AttemptId =>
  `${requestId}.${ordinal}` as AttemptId;
