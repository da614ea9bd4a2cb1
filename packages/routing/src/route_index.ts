/**
 * Finds the route of a request: by host and longest path prefix, or by method
 * and a path pattern in which one segment is the key.
 */
import type { Route, RouteMatch } from "@lentilspur/ports/routing_table";

/** The properties of a request that determine its route. */
export interface RoutedRequest {
  readonly method: string;
  /** May include a port. */
  readonly host: string;
  /** May include a query. */
  readonly path: string;
}

export interface MatchedRoute {
  readonly route: Route;
  /** The path segment that is the key, if the route has one. */
  readonly keyText?: string;
}

type PrefixMatch = RouteMatch & { readonly kind: "prefix" };
type PatternMatch = RouteMatch & { readonly kind: "pattern" };

export class RouteIndex {
  readonly #byHost = new Map<string, [PrefixMatch, Route][]>();
  /**
   * By method and number of segments; at most one pattern in a list matches a
   * path.
   */
  readonly #byMethodAndLength = new Map<string, [PatternMatch, Route][]>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const { match } = route;
      switch (match.kind) {
        case "prefix":
          addTo(this.#byHost, match.host.toLowerCase(), [match, route]);
          break;
        case "pattern":
          addTo(
            this.#byMethodAndLength,
            formatPatternKey(match.method, match.segments.length),
            [match, route],
          );
          break;
      }
    }
    for (const list of this.#byHost.values()) {
      list.sort(([left], [right]) =>
        right.pathPrefix.length - left.pathPrefix.length
      );
    }
  }

  match(request: RoutedRequest): MatchedRoute | undefined {
    const path = removeQuery(request.path);
    const route = this.#findByPrefix(request.host, path);
    return route === undefined
      ? this.#findByPattern(request.method, path)
      : { route };
  }

  #findByPrefix(host: string, path: string): Route | undefined {
    const routes = this.#byHost.get(removePort(host).toLowerCase());
    return routes?.find(([{ pathPrefix }]) => path.startsWith(pathPrefix))?.[1];
  }

  #findByPattern(method: string, path: string): MatchedRoute | undefined {
    if (this.#byMethodAndLength.size === 0) {
      return undefined;
    }
    const pathSegments = path.slice(1).split("/");
    const routes = this.#byMethodAndLength.get(
      formatPatternKey(method, pathSegments.length),
    ) ?? [];
    for (const [{ segments }, route] of routes) {
      const keyText = pathSegments[segments.indexOf(null)];
      const isMatch = segments.every((segment, index) =>
        segment === null
          ? pathSegments[index] !== ""
          : segment === pathSegments[index]
      );
      if (isMatch) {
        return { route, ...(keyText === undefined ? {} : { keyText }) };
      }
    }
    return undefined;
  }
}

function addTo<Value>(
  lists: Map<string, Value[]>,
  name: string,
  value: Value,
): void {
  const list = lists.get(name);
  if (list === undefined) {
    lists.set(name, [value]);
  } else {
    list.push(value);
  }
}

function formatPatternKey(method: string, segments: number): string {
  return `${method} ${segments}`;
}

function removePort(host: string): string {
  const colon = host.lastIndexOf(":");
  return colon < 0 || host.endsWith("]") ? host : host.slice(0, colon);
}

function removeQuery(path: string): string {
  const queryStart = path.indexOf("?");
  return queryStart < 0 ? path : path.slice(0, queryStart);
}
