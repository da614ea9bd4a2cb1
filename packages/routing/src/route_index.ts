/**
 * Finds the route of a request: by its host and the longest matching prefix, or
 * by its method and a path whose one variable segment is the key.
 */
import type { Route, RouteMatch } from "@lentilspur/ports/routing_table";

/** What of a request decides its route. */
export interface RoutedRequest {
  readonly method: string;
  /** May carry a port. */
  readonly host: string;
  /** May carry a query. */
  readonly path: string;
}

export interface MatchedRoute {
  readonly route: Route;
  /** The segment of the path that is the key, where the route has one. */
  readonly keyText?: string;
}

type PrefixMatch = RouteMatch & { readonly kind: "prefix" };
type PatternMatch = RouteMatch & { readonly kind: "pattern" };

export class RouteIndex {
  readonly #byHost = new Map<string, [PrefixMatch, Route][]>();
  /** By method and number of segments; patterns never meet in one of these. */
  readonly #byShape = new Map<string, [PatternMatch, Route][]>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const { match } = route;
      switch (match.kind) {
        case "prefix":
          addTo(this.#byHost, match.host.toLowerCase(), [match, route]);
          break;
        case "pattern":
          addTo(
            this.#byShape,
            formatShape(match.method, match.segments.length),
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
    const plain = removeQuery(request.path);
    const route = this.#findByPrefix(request.host, plain);
    return route === undefined
      ? this.#findByPattern(request.method, plain)
      : { route };
  }

  #findByPrefix(host: string, path: string): Route | undefined {
    const routes = this.#byHost.get(removePort(host).toLowerCase());
    return routes?.find(([{ pathPrefix }]) => path.startsWith(pathPrefix))?.[1];
  }

  #findByPattern(method: string, path: string): MatchedRoute | undefined {
    if (this.#byShape.size === 0) {
      return undefined;
    }
    const given = path.slice(1).split("/");
    const routes = this.#byShape.get(formatShape(method, given.length)) ?? [];
    for (const [{ segments }, route] of routes) {
      const keyText = given[segments.indexOf(null)];
      const isMatch = segments.every((segment, index) =>
        segment === null ? given[index] !== "" : segment === given[index]
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
  const known = lists.get(name);
  if (known === undefined) {
    lists.set(name, [value]);
  } else {
    known.push(value);
  }
}

function formatShape(method: string, segments: number): string {
  return `${method} ${segments}`;
}

function removePort(host: string): string {
  const colon = host.lastIndexOf(":");
  return colon < 0 || host.endsWith("]") ? host : host.slice(0, colon);
}

function removeQuery(path: string): string {
  const mark = path.indexOf("?");
  return mark < 0 ? path : path.slice(0, mark);
}
