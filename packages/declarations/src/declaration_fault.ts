/** What is wrong with a declaration, and where. */

/** A line and a column of a file, both counted from 1. */
export interface SourcePosition {
  readonly line: number;
  readonly column: number;
}

/** One fault, told so that an operator can mend it without reading the code. */
export interface DeclarationFault {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  /** Within the document, such as `routes[0].path`; empty for the whole. */
  readonly path: string;
  readonly found: string;
  readonly allowed: string;
}

/** `FILE:LINE:COLUMN: PATH: found X; allowed is Y`, which editors can follow. */
export function formatDeclarationFault(fault: DeclarationFault): string {
  const place = `${fault.file}:${fault.line}:${fault.column}`;
  const path = fault.path === "" ? "(document)" : fault.path;
  return `${place}: ${path}: found ${fault.found}; allowed is ${fault.allowed}`;
}

/** Orders faults as a reader meets them, file by file from the top. */
export function sortDeclarationFaults(
  faults: readonly DeclarationFault[],
): readonly DeclarationFault[] {
  return [...faults].sort((a, b) =>
    compareText(a.file, b.file) || a.line - b.line || a.column - b.column
  );
}

/** Longest quotation of a value; longer ones are cut. */
const MAX_QUOTED_CHARACTERS = 60;

/** A value as a message quotes it. */
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

/** By code unit, so that the order is the same under every locale. */
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
