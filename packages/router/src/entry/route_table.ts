/** From a method and path to the template's route and the key. */
import type { Route, Template } from "@lentilspur/declarations/template";

const KEY_SEGMENT = "{key}";
/** Longer ones are refused; a key stands in every decision line. */
const MAX_KEY_LENGTH = 256;

interface CompiledRoute {
  readonly template: Template;
  readonly route: Route;
  readonly segments: readonly string[];
  readonly keyIndex: number;
}

export type RouteMatch =
  | {
    readonly kind: "matched";
    readonly template: Template;
    readonly route: Route;
    readonly key: string;
  }
  | { readonly kind: "no-route" }
  | { readonly kind: "bad-key"; readonly found: string };

/** All routes of one configuration, grouped by method and segment count. */
export class RouteTable {
  readonly #routes = new Map<string, CompiledRoute[]>();

  constructor(templates: readonly Template[]) {
    for (const template of templates) {
      for (const route of template.routes) {
        this.#add(template, route);
      }
    }
  }

  /** `path` may carry a query. */
  match(method: string, path: string): RouteMatch {
    const queryAt = path.indexOf("?");
    const plain = queryAt < 0 ? path : path.slice(0, queryAt);
    const segments = plain.split("/");
    const candidates = this.#routes.get(formatGroup(method, segments.length));
    for (const candidate of candidates ?? []) {
      if (isMatch(candidate, segments)) {
        return toMatch(candidate, segments[candidate.keyIndex]!);
      }
    }
    return { kind: "no-route" };
  }

  #add(template: Template, route: Route): void {
    const segments = route.path.split("/");
    const group = formatGroup(route.method, segments.length);
    const known = this.#routes.get(group) ?? [];
    const keyIndex = segments.indexOf(KEY_SEGMENT);
    known.push({ template, route, segments, keyIndex });
    this.#routes.set(group, known);
  }
}

function formatGroup(method: string, segmentCount: number): string {
  return `${method} ${segmentCount}`;
}

function isMatch(
  candidate: CompiledRoute,
  segments: readonly string[],
): boolean {
  return candidate.segments.every((segment, index) =>
    index === candidate.keyIndex || segment === segments[index]
  );
}

function toMatch(candidate: CompiledRoute, text: string): RouteMatch {
  const key = decodeKey(text);
  if (key === undefined || key === "" || key.length > MAX_KEY_LENGTH) {
    return { kind: "bad-key", found: text.slice(0, MAX_KEY_LENGTH) };
  }
  const { template, route } = candidate;
  return { kind: "matched", template, route, key };
}

function decodeKey(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}
