/** Finds the route of a request by its host and the longest matching prefix. */
import type { Route } from "@lentilspur/ports/routing_table";

export class RouteIndex {
  readonly #byHost = new Map<string, Route[]>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const known = this.#byHost.get(host);
      if (known === undefined) {
        this.#byHost.set(host, [route]);
      } else {
        known.push(route);
      }
    }
    for (const list of this.#byHost.values()) {
      list.sort((left, right) =>
        right.pathPrefix.length - left.pathPrefix.length
      );
    }
  }

  /** `host` may carry a port, `path` a query. */
  match(host: string, path: string): Route | undefined {
    const routes = this.#byHost.get(removePort(host).toLowerCase());
    const plain = removeQuery(path);
    return routes?.find((route) => plain.startsWith(route.pathPrefix));
  }
}

function removePort(host: string): string {
  const colon = host.lastIndexOf(":");
  return colon < 0 || host.endsWith("]") ? host : host.slice(0, colon);
}

function removeQuery(path: string): string {
  const mark = path.indexOf("?");
  return mark < 0 ? path : path.slice(0, mark);
}
