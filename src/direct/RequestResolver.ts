import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type { OrganisationId } from '../domain/index.js';
import type { Random } from '../kernel/index.js';
import type { CallerAccess, RequestAuthorizer } from '../organisations/index.js';
import type { CallerRequest } from './CallerRequest.js';
import { pickTarget, type FleetView, type Route } from './decisions/index.js';
import type { HeaderCodec } from './HeaderCodec.js';

/** Delay after which a caller should retry if no configuration is known yet, in milliseconds. */
const STARTING_RETRY_MS = 500;

/** Refusal of a request that was not sent to any server. */
export interface RequestRefusal {
  readonly kind: 'refused';
  readonly status: number;
  readonly detail: string;
  /** Delay after which the caller should retry, in milliseconds; absent if a retry cannot succeed. */
  readonly retryAfterMs?: number | undefined;
}

/** Route of a request and what its key gives access to. */
interface Permitted {
  readonly kind: 'permitted';
  readonly configurationVersion: number;
  readonly route: Route;
  readonly access: CallerAccess;
}

/** Dependencies of {@link RequestResolver}. */
export interface RequestResolverDependencies {
  readonly view: FleetView;
  readonly codec: HeaderCodec;
  readonly random: Random;
  readonly authorizer: RequestAuthorizer;
}

/** Finds the route, service and organisation of callers' requests, or the reason to refuse them. */
export class RequestResolver {
  /** @param deps - Dependencies. */
  constructor(private readonly deps: RequestResolverDependencies) {}

  /**
   * Returns why a request is refused whatever its body is; undefined if that is not known yet.
   * @param incoming - Head of the request.
   */
  findRefusal(incoming: IncomingMessage): RequestRefusal | undefined {
    const permission = this.permit(incoming);
    return permission.kind === 'refused' ? permission : undefined;
  }

  /**
   * Returns the request to forward, or why it is refused.
   * @param incoming - Head of the request.
   * @param body - The whole body.
   * @param receivedAtMs - When the head was received.
   * @param connectionRequestNumber - Number of the request among those on its connection, from 1.
   */
  resolve(
    incoming: IncomingMessage,
    body: Buffer,
    receivedAtMs: number,
    connectionRequestNumber: number,
  ): { readonly kind: 'accepted'; readonly request: CallerRequest } | RequestRefusal {
    const permission = this.permit(incoming);
    if (permission.kind === 'refused') {
      return permission;
    }
    const { codec, random } = this.deps;
    const { route, access, configurationVersion } = permission;
    const headers = codec.decodeRequest(incoming.headers);
    const target = pickTarget(route, random.nextFraction());
    if (!target) {
      return { kind: 'refused', status: 404, detail: 'no route takes this host and path' };
    }
    if (!headers) {
      return { kind: 'refused', status: 400, detail: 'the request id is missing' };
    }
    const { method = 'GET', url: path = '/' } = incoming;
    const organisation = access.kind === 'organisation' ? access.organisation : undefined;
    const request: CallerRequest = {
      headers,
      route,
      serviceId: target.serviceId,
      method,
      path,
      body,
      access,
      priority: organisation?.priority ?? route.priority,
      fingerprint: getFingerprint(organisation?.organisationId, method, path, headers.model, body),
      receivedAtMs,
      configurationVersion,
      connectionRequestNumber,
    };
    return { kind: 'accepted', request };
  }

  private permit({ headers, url = '/' }: IncomingMessage): Permitted | RequestRefusal {
    const { view, codec, authorizer } = this.deps;
    if (!view.configuration) {
      const detail = 'no configuration is known yet';
      return { kind: 'refused', status: 503, detail, retryAfterMs: STARTING_RETRY_MS };
    }
    const route = view.routeTable.getRoute(headers.host ?? '', url);
    if (!route) {
      return { kind: 'refused', status: 404, detail: 'no route takes this host and path' };
    }
    const access = authorizer.authorize(route.isPublic === true, codec.getKey(headers));
    switch (access.kind) {
      case 'denied':
        return { kind: 'refused', status: 401, detail: access.detail };
      case 'uncertain':
        return { kind: 'refused', status: 503, detail: access.detail, retryAfterMs: STARTING_RETRY_MS };
      case 'unmanaged':
      case 'public':
      case 'organisation':
        return { kind: 'permitted', route, access, configurationVersion: view.configuration.version };
    }
  }
}

/** Returns the fingerprint of a request, the same for requests with equal organisation, method, path, model and body. */
function getFingerprint(
  organisationId: OrganisationId | undefined,
  method: string,
  path: string,
  model: string | undefined,
  body: Buffer,
): string {
  const head = JSON.stringify([organisationId ?? '', method, path, model ?? '']);
  return createHash('sha1').update(head).update(body).digest('base64url');
}
