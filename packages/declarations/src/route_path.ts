/** Validates paths of routes and detects paths that overlap. */

export const KEY_SEGMENT = "{key}";

/** First segments of paths that instances serve themselves. */
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
  `a path such as /case-files/{key}/demands with exactly one segment {key}, a first segment other than {key}, ${
    RESERVED_SEGMENTS.join(", ")
  }, only letters, digits and . _ ~ - in the other segments, and no / at the end`;

const LITERAL_SEGMENT_PATTERN = /^[A-Za-z0-9_~-][A-Za-z0-9._~-]*$/;
const MAX_PATH_CHARACTERS = 512;

/** Whether `path` is a valid path for a route. */
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
 * Whether one request path can match both paths. Such routes are rejected: the
 * template that serves the request would be ambiguous, and a non-idempotent
 * request could be treated as idempotent.
 */
export function hasPathOverlap(a: string, b: string): boolean {
  const left = splitRoutePath(a);
  const right = splitRoutePath(b);
  return left.length === right.length &&
    left.every((segment, index) => hasSegmentOverlap(segment, right[index]));
}

function hasSegmentOverlap(a: string, b: string | undefined): boolean {
  return a === b || a === KEY_SEGMENT || b === KEY_SEGMENT;
}

export function splitRoutePath(path: string): readonly string[] {
  return path.slice(1).split("/");
}
