/**
 * Declaration files cut into documents that remember where each value stands.
 * A file holds one or more YAML documents, separated by `---`.
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
  /** As messages show it: the path below the declarations' directory. */
  readonly name: string;
  readonly text: string;
}

/** Steps from a document's top to one value, as zod reports them. */
export type ValuePath = readonly PropertyKey[];

/** One document of a file. */
export class SourceDocument {
  readonly file: string;
  readonly value: unknown;
  readonly #node: Document.Parsed;
  readonly #lines: LineCounter;

  constructor(
    file: string,
    node: Document.Parsed,
    lines: LineCounter,
  ) {
    this.file = file;
    this.value = node.toJS();
    this.#node = node;
    this.#lines = lines;
  }

  /** A top-level field where it is text, however wrong the rest may be. */
  getText(field: string): string | undefined {
    const value = this.#node.get(field);
    return typeof value === "string" ? value : undefined;
  }

  /** Where the value at `path` stands; a missing one stands at its parent. */
  locate(path: ValuePath): SourcePosition {
    const node = this.#findNode(path);
    return locateOffset(this.#lines, node?.range?.[0] ?? this.#getStart());
  }

  /** Where the field name `key` stands in the mapping at `path`. */
  locateKey(path: ValuePath, key: string): SourcePosition {
    const parent = this.#findNode(path);
    const pair = isMap(parent)
      ? parent.items.find((item) =>
        isScalar(item.key) && String(item.key.value) === key
      )
      : undefined;
    const node = pair?.key;
    return isNode(node) && node.range
      ? locateOffset(this.#lines, node.range[0])
      : this.locate(path);
  }

  /** Makes a fault that stands at `path`. */
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
        ? this.#node.contents
        : this.#node.getIn(steps, true);
      if (isNode(node)) {
        return node;
      }
    }
    return undefined;
  }

  #getStart(): number {
    return this.#node.range[0];
  }
}

/** What one file gave. Documents with faults of syntax are left out. */
export interface ParsedDeclarationFile {
  readonly documents: readonly SourceDocument[];
  readonly faults: readonly DeclarationFault[];
}

/** Cuts `file` into documents. Never throws, whatever the text. */
export function parseDeclarationFile(
  file: DeclarationFile,
): ParsedDeclarationFile {
  const lines = new LineCounter();
  const parsed = parseAllDocuments(file.text, {
    lineCounter: lines,
    uniqueKeys: true,
    prettyErrors: false,
  });
  const documents: SourceDocument[] = [];
  const faults: DeclarationFault[] = [];
  for (const node of Array.isArray(parsed) ? parsed : []) {
    const nodeFaults = listSyntaxFaults(file, node, lines);
    faults.push(...nodeFaults);
    if (nodeFaults.length === 0 && !isEmpty(node)) {
      documents.push(new SourceDocument(file.name, node, lines));
    }
  }
  return { documents, faults };
}

/** `["routes", 0, "path"]` as `routes[0].path`. */
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
  node: Document.Parsed,
  lines: LineCounter,
): readonly DeclarationFault[] {
  const faults = [...node.errors, ...node.warnings].map((error) => ({
    file: file.name,
    ...locateOffset(lines, error.pos[0]),
    path: "",
    found: `a fault of syntax (${toOneLine(error.message)})`,
    allowed: "YAML 1.2 with each field named once",
  }));
  const alias = findAlias(node);
  return alias === undefined ? faults : [...faults, {
    file: file.name,
    ...locateOffset(lines, alias),
    path: "",
    found: "an anchor or alias",
    allowed: "each value written out where it holds",
  }];
}

/**
 * Aliases are refused: a reviewer of a change could not see in the changed
 * lines which other documents' values change with them, and nested aliases
 * make a small file expand without bound.
 */
function findAlias(node: Document.Parsed): number | undefined {
  let found: number | undefined;
  visit(node, {
    Node: (_key, child) => {
      if (isAlias(child) || child.anchor !== undefined) {
        found = child.range?.[0] ?? 0;
        return visit.BREAK;
      }
      return undefined;
    },
  });
  return found;
}

function isEmpty(node: Document.Parsed): boolean {
  return node.contents === null || node.toJS() === null;
}

function locateOffset(lines: LineCounter, offset: number): SourcePosition {
  const { line, col } = lines.linePos(offset);
  return { line: Math.max(1, line), column: Math.max(1, col) };
}

function toOneLine(message: string): string {
  return message.replace(/\s+/g, " ").trim();
}
