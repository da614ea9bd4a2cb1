/** Which target owns a key, as the store last said. */
import {
  findRange,
  type Holder,
  type KeyTable,
  parseTable,
} from "@lentilspur/ownership/key_table";

export type KeyOwner =
  | { readonly kind: "owned"; readonly owner: Holder; readonly offset: number }
  /** It is passing from one target to another. */
  | { readonly kind: "moving"; readonly offset: number }
  /** Nobody has assigned the service's keys yet. */
  | { readonly kind: "unassigned" };

interface KnownTable {
  readonly table: KeyTable;
  /** Of the record that holds it: its version. */
  readonly offset: number;
}

export class KeyDirectory {
  readonly #tables = new Map<string, KnownTable>();

  /** Gives a reason where the text is no table; the one before stays. */
  applyTable(
    service: string,
    text: string,
    offset: number,
  ): string | undefined {
    const parsed = parseTable(text);
    if (!parsed.ok) {
      return parsed.val;
    }
    this.#tables.set(service, { table: parsed.val, offset });
    return undefined;
  }

  findOwner(service: string, key: number): KeyOwner {
    const known = this.#tables.get(service);
    if (known === undefined) {
      return { kind: "unassigned" };
    }
    const range = findRange(known.table, key);
    if (range === undefined || range.former.length > 0) {
      return { kind: "moving", offset: known.offset };
    }
    return { kind: "owned", owner: range.owner, offset: known.offset };
  }

  hasTable(service: string): boolean {
    return this.#tables.has(service);
  }
}
