/**
 * Parses declaration files into documents that keep the location of each value.
 * A file contains one or more YAML documents, separated by `---`.
 */
import {
  type Document,
  isAlias,
  isMap,
  isNode,
  isScalar,
  LineCounter,
  type Node,
  parseAllDocuments,
  visit,
} from "yaml";
import type { DeclarationFault, SourcePosition } from "./declaration_fault.ts";

export interface DeclarationFile {
  /** Path relative to the declarations directory, as shown in messages. */
  readonly name: string;
  readonly text: string;
}

/** Path from the document root to a value, as reported by zod. */
export type ValuePath = readonly PropertyKey[];

/** A parsed YAML document of a file. */
export class SourceDocument {
  readonly file: string;
  readonly value: unknown;
  readonly #document: Document.Parsed;
  readonly #lineCounter: LineCounter;

  constructor(
    file: string,
    document: Document.Parsed,
    lineCounter: LineCounter,
  ) {
    this.file = file;
    this.value = document.toJS();
    this.#document = document;
    this.#lineCounter = lineCounter;
  }

  /** Returns a top-level string field, even if the document is invalid. */
  getText(field: string): string | undefined {
    const value = this.#document.get(field);
    return typeof value === "string" ? value : undefined;
  }

  /** Locates the value at `path`, or its closest ancestor if it is missing. */
  locate(path: ValuePath): SourcePosition {
    const node = this.#findNode(path);
    return locateOffset(
      this.#lineCounter,
      node?.range?.[0] ?? this.#getStart(),
    );
  }

  /** Locates the field name `key` in the mapping at `path`. */
  locateKey(path: ValuePath, key: string): SourcePosition {
    const parent = this.#findNode(path);
    const pair = isMap(parent)
      ? parent.items.find((item) =>
        isScalar(item.key) && String(item.key.value) === key
      )
      : undefined;
    const node = pair?.key;
    return isNode(node) && node.range
      ? locateOffset(this.#lineCounter, node.range[0])
      : this.locate(path);
  }

  createFault(
    path: ValuePath,
    found: string,
    allowed: string,
  ): DeclarationFault {
    const position = this.locate(path);
    return {
      file: this.file,
      ...position,
      path: formatPath(path),
      found,
      allowed,
    };
  }

  #findNode(path: ValuePath): Node | undefined {
    for (let length = path.length; length >= 0; length--) {
      const steps = path.slice(0, length);
      const node = length === 0
        ? this.#document.contents
        : this.#document.getIn(steps, true);
      if (isNode(node)) {
        return node;
      }
    }
    return undefined;
  }

  #getStart(): number {
    return this.#document.range[0];
  }
}

/** Documents and faults of a file; omits documents with syntax errors. */
export interface ParsedDeclarationFile {
  readonly documents: readonly SourceDocument[];
  readonly faults: readonly DeclarationFault[];
}

/** Parses `file`; reports invalid input as faults and never throws. */
export function parseDeclarationFile(
  file: DeclarationFile,
): ParsedDeclarationFile {
  const lineCounter = new LineCounter();
  const parsed = parseAllDocuments(file.text, {
    lineCounter,
    uniqueKeys: true,
    prettyErrors: false,
  });
  const documents: SourceDocument[] = [];
  const faults: DeclarationFault[] = [];
  for (const document of Array.isArray(parsed) ? parsed : []) {
    const syntaxFaults = listSyntaxFaults(file, document, lineCounter);
    faults.push(...syntaxFaults);
    if (syntaxFaults.length === 0 && !isEmpty(document)) {
      documents.push(new SourceDocument(file.name, document, lineCounter));
    }
  }
  return { documents, faults };
}

/** Formats `["routes", 0, "path"]` as `routes[0].path`. */
export function formatPath(path: ValuePath): string {
  return path.reduce<string>((text, step) => {
    if (typeof step === "number") {
      return `${text}[${step}]`;
    }
    return text === "" ? String(step) : `${text}.${String(step)}`;
  }, "");
}

function listSyntaxFaults(
  file: DeclarationFile,
  document: Document.Parsed,
  lineCounter: LineCounter,
): readonly DeclarationFault[] {
  const faults = [...document.errors, ...document.warnings].map((error) => ({
    file: file.name,
    ...locateOffset(lineCounter, error.pos[0]),
    path: "",
    found: `a syntax error (${toOneLine(error.message)})`,
    allowed: "valid YAML 1.2 without duplicate fields",
  }));
  const aliasOffset = findAliasOffset(document);
  return aliasOffset === undefined ? faults : [...faults, {
    file: file.name,
    ...locateOffset(lineCounter, aliasOffset),
    path: "",
    found: "an anchor or alias",
    allowed: "each value written out where it is used",
  }];
}

/**
 * Finds the offset of the first anchor or alias. These are rejected for two
 * reasons: the changed lines of an edit would not show all values that change
 * with them, and nested aliases let a small file expand without bound.
 */
function findAliasOffset(document: Document.Parsed): number | undefined {
  let offset: number | undefined;
  visit(document, {
    Node: (_key, child) => {
      if (isAlias(child) || child.anchor !== undefined) {
        offset = child.range?.[0] ?? 0;
        return visit.BREAK;
      }
      return undefined;
    },
  });
  return offset;
}

function isEmpty(document: Document.Parsed): boolean {
  return document.contents === null || document.toJS() === null;
}

function locateOffset(
  lineCounter: LineCounter,
  offset: number,
): SourcePosition {
  const { line, col } = lineCounter.linePos(offset);
  return { line: Math.max(1, line), column: Math.max(1, col) };
}

function toOneLine(message: string): string {
  return message.replace(/\s+/g, " ").trim();
}
