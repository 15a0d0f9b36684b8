import type { Route, RouteTarget } from './ServingConfiguration.js';

/** Finds the route of a request by host and longest path prefix. */
export class RouteTable {
  /** Routes of each host, by path prefix. */
  private readonly routesByHost = new Map<string, Map<string, Route>>();

  /** @param routes - Routes of one configuration; every prefix begins and ends with a slash. */
  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const routesByPrefix = this.routesByHost.get(host) ?? new Map<string, Route>();
      routesByPrefix.set(route.pathPrefix, route);
      this.routesByHost.set(host, routesByPrefix);
    }
  }

  /**
   * Returns the route with the longest matching path prefix; undefined when no route matches.
   * @param host - Value of the Host header, with or without a port.
   * @param path - Path, with or without a query.
   */
  getRoute(host: string, path: string): Route | undefined {
    const routesByPrefix = this.routesByHost.get(stripPort(host).toLowerCase());
    if (!routesByPrefix) {
      return undefined;
    }
    const queryAt = path.indexOf('?');
    const plainPath = queryAt < 0 ? path : path.slice(0, queryAt);
    for (let end = plainPath.lastIndexOf('/'); end >= 0; end = plainPath.lastIndexOf('/', end - 1)) {
      const route = routesByPrefix.get(plainPath.slice(0, end + 1));
      if (route) {
        return route;
      }
      if (end === 0) {
        return undefined;
      }
    }
    return undefined;
  }
}

/**
 * Picks one of the targets of a route at random, by weight.
 * @param route - The route.
 * @param fraction - Random number in [0, 1).
 */
export function pickTarget(route: Route, fraction: number): RouteTarget | undefined {
  let totalWeight = 0;
  for (const target of route.targets) {
    totalWeight += target.weight;
  }
  let remainingWeight = fraction * totalWeight;
  for (const target of route.targets) {
    remainingWeight -= target.weight;
    if (remainingWeight < 0) {
      return target;
    }
  }
  return route.targets[0];
}

function stripPort(host: string): string {
  const colon = host.indexOf(':');
  return colon < 0 ? host : host.slice(0, colon);
}
