/** Paths of routes: what is allowed, and when two of them can meet. */

export const KEY_SEGMENT = "{key}";

/** First segments that instances answer themselves. */
export const RESERVED_SEGMENTS: readonly string[] = [
  "admin",
  "health",
  "healthz",
  "metrics",
  "ready",
  "readyz",
  "request-ids",
];

export const ROUTE_PATH_ALLOWED =
  `a path such as /case-files/{key}/demands: exactly one segment is {key}, the first is none of {key}, ${
    RESERVED_SEGMENTS.join(", ")
  }, the others hold only letters, digits and . _ ~ -, and no / stands at the end`;

const LITERAL_SEGMENT_PATTERN = /^[A-Za-z0-9_~-][A-Za-z0-9._~-]*$/;
const MAX_PATH_CHARACTERS = 512;

/** Whether `path` may stand in a route. */
export function isValidRoutePath(path: string): boolean {
  if (!path.startsWith("/") || path.length > MAX_PATH_CHARACTERS) {
    return false;
  }
  const segments = splitRoutePath(path);
  const literals = segments.filter((segment) => segment !== KEY_SEGMENT);
  const [first = ""] = segments;
  return literals.length === segments.length - 1 &&
    literals.every((segment) => LITERAL_SEGMENT_PATTERN.test(segment)) &&
    first !== KEY_SEGMENT &&
    !RESERVED_SEGMENTS.includes(first);
}

/**
 * Whether one request path can match both: then nobody could say which
 * template serves it, and a non-idempotent request could pass as idempotent.
 */
export function hasPathOverlap(a: string, b: string): boolean {
  const left = splitRoutePath(a);
  const right = splitRoutePath(b);
  return left.length === right.length &&
    left.every((segment, index) => matchSegments(segment, right[index]));
}

function matchSegments(a: string, b: string | undefined): boolean {
  return a === b || a === KEY_SEGMENT || b === KEY_SEGMENT;
}

/** The segments between the slashes. */
export function splitRoutePath(path: string): readonly string[] {
  return path.slice(1).split("/");
}
