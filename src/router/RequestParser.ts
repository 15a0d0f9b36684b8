import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import murmurhash from 'murmurhash';
import { z } from 'zod';
import {
  RefusedError,
  toAdapterId,
  toOrganisationId,
  toServiceId,
  type CallerRequest,
  type OrganisationConfiguration,
  type Refusal,
  type RefusalReason,
  type RequestId,
} from '../domain/index.js';
import { plainModelId, type Catalogue, type CatalogueModel } from '../state/index.js';
import { getClaimShard, type RunExtras } from './RequestHandler.js';

/** Maximum number of generated tokens for a request that specifies none. */
const DEFAULT_MAX_TOKENS = 512;
/** Maximum timeout that a caller may request, in milliseconds. */
const MAX_DEADLINE_MS = 3_600_000;

/** Fields of a completion request that the router reads; all others are passed to the engine unchanged. */
const completionSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string() })).min(1),
  stream: z.boolean().optional(),
  max_tokens: z.int().positive().optional(),
  max_completion_tokens: z.int().positive().optional(),
});

/** HTTP request received from a caller. */
export interface IncomingRequest {
  readonly requestId: RequestId;
  readonly method: string;
  /** Path and query. */
  readonly url: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  readonly receivedAtMs: number;
}

/** Validated request with the parameters of its attempts. */
export interface ParsedRequest {
  readonly request: CallerRequest;
  readonly extras: RunExtras;
  /** Maximum number of tokens that the request may generate; 0 for a plain service. */
  readonly maxTokens: number;
}

/** Parses and validates callers' requests; the refusal of an invalid one states the error and the allowed values. */
export class RequestParser {
  /** @param catalogue - Catalogue of the models and services. */
  constructor(private readonly catalogue: Catalogue) {}

  /**
   * Parses a chat completion request.
   * @param incoming - Received request.
   * @param organisation - Organisation of the caller.
   * @throws RefusedError when the request is invalid.
   */
  parseCompletion(incoming: IncomingRequest, organisation: OrganisationConfiguration): ParsedRequest {
    const result = completionSchema.safeParse(parseJson(incoming.body));
    if (!result.success) {
      throw createRefusedError('malformedRequest', `The body is wrong: ${z.prettifyError(result.error)}`);
    }
    const completion = result.data;
    const [modelName = '', adapterName] = completion.model.split(':');
    const model = this.getAllowedModel(modelName, organisation);
    const adapter = model.model?.adapters.find((candidate) => candidate.name === adapterName);
    if (!model.model || (adapterName !== undefined && !adapter)) {
      throw createUnknownModelError(completion.model);
    }
    const adapterId = adapter && toAdapterId(completion.model);
    const maxTokens = completion.max_completion_tokens ?? completion.max_tokens ?? DEFAULT_MAX_TOKENS;
    const engineBody = JSON.stringify({
      ...completion,
      model: adapterId ?? model.modelId,
      max_tokens: maxTokens,
    });
    const request = this.toRequest(incoming, organisation, model, {
      method: 'POST',
      path: '/v1/chat/completions',
      body: engineBody,
    });
    const extras = toRunExtras(request, model, adapter?.sizeBytes ?? 0);
    return { request: { ...request, modelId: model.modelId, adapterId }, extras, maxTokens };
  }

  /**
   * Returns the names of the models and adapters that an organisation may call.
   * @param organisation - Organisation of the caller.
   */
  listModels(organisation: OrganisationConfiguration): string[] {
    const names: string[] = [];
    for (const { modelId, model, service } of this.catalogue.getModels()) {
      if (model && service.organisations.includes(organisation.organisation)) {
        names.push(modelId, ...model.adapters.map((adapter) => `${modelId}:${adapter.name}`));
      }
    }
    return names;
  }

  /**
   * Parses a request to a plain service.
   * @param incoming - Received request.
   * @param organisation - Organisation of the caller.
   * @throws RefusedError when the request is invalid.
   */
  parsePlain(incoming: IncomingRequest, organisation: OrganisationConfiguration): ParsedRequest {
    const [, service = '', path = '/'] = /^\/services\/([^/?]+)(.*)$/.exec(incoming.url) ?? [];
    const model = this.catalogue.getModel(plainModelId(service));
    if (!model || !model.service.organisations.includes(organisation.organisation)) {
      throw createRefusedError(
        'unknownService',
        `There is no plain service ${service} for this organisation.`,
      );
    }
    const request = this.toRequest(incoming, organisation, model, {
      method: incoming.method,
      path: path || '/',
      body: incoming.body,
    });
    return { request, extras: toRunExtras(request, model, 0), maxTokens: 0 };
  }

  private getAllowedModel(modelName: string, organisation: OrganisationConfiguration): CatalogueModel {
    const model = this.catalogue.getModel(modelName);
    if (!model || !model.service.organisations.includes(organisation.organisation)) {
      throw createUnknownModelError(modelName);
    }
    return model;
  }

  private toRequest(
    incoming: IncomingRequest,
    organisation: OrganisationConfiguration,
    model: CatalogueModel,
    target: { readonly method: string; readonly path: string; readonly body: string },
  ): CallerRequest {
    const timeoutMs = parseTimeoutMs(incoming.headers['request-timeout-ms'], model.service.defaultDeadlineMs);
    const key = incoming.headers['idempotency-key'];
    const fingerprint = createHash('sha256')
      .update(JSON.stringify([organisation.organisation, target.method, target.path, target.body]))
      .digest('hex');
    return {
      ...target,
      requestId: incoming.requestId,
      organisationId: toOrganisationId(organisation.organisation),
      serviceId: toServiceId(model.service.service),
      requestClass: model.service.requestClass,
      idempotent: model.service.idempotent || isSafeMethod(target.method),
      idempotencyKey: typeof key === 'string' && key !== '' ? key : undefined,
      deadlineAtMs: incoming.receivedAtMs + timeoutMs,
      fingerprint,
    };
  }
}

/** Whether a method is safe as defined by RFC 9110. */
function isSafeMethod(method: string): boolean {
  return method === 'GET' || method === 'HEAD' || method === 'OPTIONS';
}

function toRunExtras(request: CallerRequest, model: CatalogueModel, adapterSizeBytes: number): RunExtras {
  const key = request.idempotencyKey;
  const needsClaim = !request.idempotent && key !== undefined;
  const keyHash = murmurhash.v3(`${request.organisationId}|${key ?? ''}`);
  return {
    modelId: model.modelId,
    adapterSizeBytes,
    cacheSalt: createHash('sha256').update(`salt|${request.organisationId}`).digest('hex'),
    claimShard: needsClaim ? getClaimShard(request.serviceId, keyHash) : undefined,
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw createRefusedError('malformedRequest', `The body is not JSON: ${(error as Error).message}.`);
  }
}

function parseTimeoutMs(header: string | string[] | undefined, defaultMs: number): number {
  if (header === undefined) {
    return defaultMs;
  }
  const timeoutMs = Number(header);
  if (!Number.isFinite(timeoutMs) || timeoutMs > MAX_DEADLINE_MS) {
    const detail = `Request-Timeout-Ms is ${String(header)}; allowed is a number of milliseconds up to ${MAX_DEADLINE_MS}.`;
    throw createRefusedError('malformedRequest', detail);
  }
  if (timeoutMs <= 0) {
    throw createRefusedError(
      'deadlinePassed',
      `Request-Timeout-Ms is ${timeoutMs}, so the deadline has passed already.`,
    );
  }
  return timeoutMs;
}

function createUnknownModelError(name: string): RefusedError {
  return createRefusedError(
    'unknownModel',
    `There is no model ${name} for this organisation; names are service/model or service/model:adapter.`,
  );
}

/**
 * Creates the error for a request that is refused before any attempt.
 * @param reason - Reason of the refusal.
 * @param detail - Explanation for the caller.
 * @param retryAfterMs - Retry delay for the caller, in milliseconds.
 */
export function createRefusedError(
  reason: RefusalReason,
  detail: string,
  retryAfterMs?: number,
): RefusedError {
  const refusal: Refusal = { reason, detail, verdict: 'didNotRun', retryAfterMs };
  return new RefusedError(refusal);
}
