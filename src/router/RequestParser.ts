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
import { claimShardOf, type FlowExtras } from './RequestHandler.js';

/** Tokens that a request may generate when it names no bound, in tokens. */
const DEFAULT_MAX_TOKENS = 512;
/** Longest deadline that a caller may ask for, in milliseconds. */
const MAX_DEADLINE_MS = 3_600_000;

/** The parts of a completion request that the router reads; the rest goes to the engine as it is. */
const completionSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string() })).min(1),
  stream: z.boolean().optional(),
  max_tokens: z.int().positive().optional(),
  max_completion_tokens: z.int().positive().optional(),
});

/** What arrived on the callers' port. */
export interface IncomingCall {
  readonly requestId: RequestId;
  readonly method: string;
  /** Path and query. */
  readonly url: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  readonly receivedAtMs: number;
}

/** A request that is ready to be run. */
export interface ParsedRequest {
  readonly request: CallerRequest;
  readonly extras: FlowExtras;
  /** Tokens that the request may generate at most; 0 for a plain service. */
  readonly maxTokens: number;
}

/** Reads callers' requests, or refuses them with what is wrong and what is allowed. */
export class RequestParser {
  /** @param catalogue - Models and services there are. */
  constructor(private readonly catalogue: Catalogue) {}

  /**
   * Reads a chat completion request.
   * @param call - What arrived.
   * @param organisation - Who asks.
   * @throws RefusedError when the request can't be run.
   */
  parseCompletion(call: IncomingCall, organisation: OrganisationConfiguration): ParsedRequest {
    const result = completionSchema.safeParse(parseJson(call.body));
    if (!result.success) {
      throw refused('malformedRequest', `The body is wrong: ${z.prettifyError(result.error)}`);
    }
    const completion = result.data;
    const [modelName = '', adapterName] = completion.model.split(':');
    const model = this.getAllowedModel(modelName, organisation);
    const adapter = model.model?.adapters.find((candidate) => candidate.name === adapterName);
    if (!model.model || (adapterName !== undefined && !adapter)) {
      throw unknownModel(completion.model);
    }
    const adapterId = adapter && toAdapterId(completion.model);
    const maxTokens = completion.max_completion_tokens ?? completion.max_tokens ?? DEFAULT_MAX_TOKENS;
    const engineBody = JSON.stringify({
      ...completion,
      model: adapterId ?? model.modelId,
      max_tokens: maxTokens,
    });
    const request = this.toRequest(call, organisation, model, {
      method: 'POST',
      path: '/v1/chat/completions',
      body: engineBody,
    });
    const extras = toExtras(request, model, adapter?.sizeBytes ?? 0);
    return { request: { ...request, modelId: model.modelId, adapterId }, extras, maxTokens };
  }

  /**
   * Names the models that an organisation may call, adapters included.
   * @param organisation - Who asks.
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
   * Reads a call of a plain service.
   * @param call - What arrived.
   * @param organisation - Who asks.
   * @throws RefusedError when the request can't be run.
   */
  parsePlain(call: IncomingCall, organisation: OrganisationConfiguration): ParsedRequest {
    const [, service = '', path = '/'] = /^\/services\/([^/?]+)(.*)$/.exec(call.url) ?? [];
    const model = this.catalogue.getModel(plainModelId(service));
    if (!model || !model.service.organisations.includes(organisation.organisation)) {
      throw refused('unknownService', `There is no plain service ${service} for this organisation.`);
    }
    const request = this.toRequest(call, organisation, model, {
      method: call.method,
      path: path || '/',
      body: call.body,
    });
    return { request, extras: toExtras(request, model, 0), maxTokens: 0 };
  }

  private getAllowedModel(modelName: string, organisation: OrganisationConfiguration): CatalogueModel {
    const model = this.catalogue.getModel(modelName);
    if (!model || !model.service.organisations.includes(organisation.organisation)) {
      throw unknownModel(modelName);
    }
    return model;
  }

  private toRequest(
    call: IncomingCall,
    organisation: OrganisationConfiguration,
    model: CatalogueModel,
    target: { readonly method: string; readonly path: string; readonly body: string },
  ): CallerRequest {
    const timeoutMs = readTimeoutMs(call.headers['request-timeout-ms'], model.service.defaultDeadlineMs);
    const key = call.headers['idempotency-key'];
    const fingerprint = createHash('sha256')
      .update(JSON.stringify([organisation.organisation, target.method, target.path, target.body]))
      .digest('hex');
    return {
      ...target,
      requestId: call.requestId,
      organisationId: toOrganisationId(organisation.organisation),
      serviceId: toServiceId(model.service.service),
      requestClass: model.service.requestClass,
      idempotent: model.service.idempotent || isReading(target.method),
      idempotencyKey: typeof key === 'string' && key !== '' ? key : undefined,
      deadlineAtMs: call.receivedAtMs + timeoutMs,
      fingerprint,
    };
  }
}

/** Whether a method changes nothing by its definition. */
function isReading(method: string): boolean {
  return method === 'GET' || method === 'HEAD' || method === 'OPTIONS';
}

function toExtras(request: CallerRequest, model: CatalogueModel, adapterSizeBytes: number): FlowExtras {
  const key = request.idempotencyKey;
  const needsClaim = !request.idempotent && key !== undefined;
  const keyHash = murmurhash.v3(`${request.organisationId}|${key ?? ''}`);
  return {
    modelId: model.modelId,
    adapterSizeBytes,
    cacheSalt: createHash('sha256').update(`salt|${request.organisationId}`).digest('hex'),
    claimShard: needsClaim ? claimShardOf(request.serviceId, keyHash) : undefined,
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw refused('malformedRequest', `The body is not JSON: ${(error as Error).message}.`);
  }
}

function readTimeoutMs(header: string | string[] | undefined, defaultMs: number): number {
  if (header === undefined) {
    return defaultMs;
  }
  const timeoutMs = Number(header);
  if (!Number.isFinite(timeoutMs) || timeoutMs > MAX_DEADLINE_MS) {
    const detail = `Request-Timeout-Ms is ${String(header)}; allowed is a number of milliseconds up to ${MAX_DEADLINE_MS}.`;
    throw refused('malformedRequest', detail);
  }
  if (timeoutMs <= 0) {
    throw refused(
      'deadlinePassed',
      `Request-Timeout-Ms is ${timeoutMs}, so the deadline has passed already.`,
    );
  }
  return timeoutMs;
}

function unknownModel(name: string): RefusedError {
  return refused(
    'unknownModel',
    `There is no model ${name} for this organisation; names are service/model or service/model:adapter.`,
  );
}

/**
 * Builds the error for a request that was refused before anything ran.
 * @param reason - Why.
 * @param detail - Sentence for the caller.
 * @param retryAfterMs - When to come back, in milliseconds.
 */
export function refused(reason: RefusalReason, detail: string, retryAfterMs?: number): RefusedError {
  const refusal: Refusal = { reason, detail, verdict: 'didNotRun', retryAfterMs };
  return new RefusedError(refusal);
}
