/** Faults in declarations: their type, order and message format. */

/** A position in a file; line and column are 1-based. */
export interface SourcePosition {
  readonly line: number;
  readonly column: number;
}

/** A fault, with all that an operator needs to correct the declaration. */
export interface DeclarationFault {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  /** Path in the document, such as `routes[0].path`; empty for the root. */
  readonly path: string;
  readonly found: string;
  readonly allowed: string;
}

/**
 * Formats `FILE:LINE:COLUMN: PATH: found X; expected Y`. Editors can jump to
 * the location.
 */
export function formatDeclarationFault(fault: DeclarationFault): string {
  const location = `${fault.file}:${fault.line}:${fault.column}`;
  const path = fault.path === "" ? "(document)" : fault.path;
  return `${location}: ${path}: found ${fault.found}; expected ${fault.allowed}`;
}

/** Sorts faults by file, line and column. */
export function sortDeclarationFaults(
  faults: readonly DeclarationFault[],
): readonly DeclarationFault[] {
  return [...faults].sort((a, b) =>
    compareText(a.file, b.file) || a.line - b.line || a.column - b.column
  );
}

/** Longer values are truncated in messages. */
const MAX_QUOTED_CHARACTERS = 60;

/** Describes a value for a message. */
export function describeValue(value: unknown): string {
  if (value === undefined) {
    return "nothing";
  }
  if (Array.isArray(value)) {
    return `a list of ${value.length}`;
  }
  if (typeof value === "object" && value !== null) {
    return `a mapping with ${describeKeys(Object.keys(value))}`;
  }
  return describeScalar(value);
}

/** Compares by code unit, so that the order is independent of the locale. */
export function compareText(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}

function describeKeys(keys: readonly string[]): string {
  return keys.length === 0 ? "no fields" : `the fields ${keys.join(", ")}`;
}

function describeScalar(value: unknown): string {
  const text = JSON.stringify(value) ?? String(value);
  return text.length <= MAX_QUOTED_CHARACTERS
    ? text
    : `${text.slice(0, MAX_QUOTED_CHARACTERS)}…`;
}
