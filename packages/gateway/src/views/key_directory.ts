/**
 * Records which target owns each key, according to the newest table from the
 * store or a peer.
 */
import {
  findHighestToken,
  findRange,
  type Holder,
  type KeyTable,
  parseTable,
} from "@lentilspur/ownership/key_table";
import type { GrantedKeys } from "../peers/peer_message.ts";

export type KeyOwner =
  | { readonly kind: "owned"; readonly owner: Holder; readonly offset: number }
  /**
   * The key is moving from one target to another, since `sinceMs` by the local
   * clock.
   */
  | {
    readonly kind: "moving";
    readonly offset: number;
    readonly sinceMs: number;
  }
  /** The service's keys have not been assigned yet. */
  | { readonly kind: "unassigned" };

/** Far more ranges than move between two records. */
const MAX_GRANTED = 2_000;

function formatKeys(from: number, to: number, token: number): string {
  return `${from}-${to}:${token}`;
}

interface KnownTable {
  readonly table: KeyTable;
  /** Offset of the record that holds the table, used as the table's version. */
  readonly offset: number;
  readonly highestToken: number;
}

export class KeyDirectory {
  readonly #tables = new Map<string, KnownTable>();
  /**
   * By service and token: when the move under this token was first seen here.
   */
  readonly #movingSince = new Map<string, Map<number, number>>();
  /**
   * By service: moving ranges that are known to have reached their new owners.
   */
  readonly #granted = new Map<string, Set<string>>();

  /**
   * Applies a serialized table. If the text is not a valid table, returns the
   * fault, and the previous table stays in force.
   */
  applyTable(
    service: string,
    text: string,
    options: { readonly offset: number; readonly nowMs: number },
  ): string | undefined {
    const parsed = parseTable(text);
    if (!parsed.ok) {
      return parsed.val;
    }
    this.setTable(service, parsed.val, options);
    return undefined;
  }

  /**
   * Sets a table that has been parsed already, unless it is older than the known
   * one: the store may have come back from an older copy, while the targets keep
   * what they were granted.
   */
  setTable(
    service: string,
    table: KeyTable,
    options: { readonly offset: number; readonly nowMs: number },
  ): void {
    const highestToken = findHighestToken(table);
    if (highestToken < (this.#tables.get(service)?.highestToken ?? -Infinity)) {
      return;
    }
    const { offset } = options;
    this.#tables.set(service, { table, offset, highestToken });
    this.#recordMoves(service, table, options.nowMs);
  }

  /**
   * Applies a keeper's report that ranges have reached their new owners, which
   * arrives before the record does. The report is only a hint.
   */
  applyGranted(service: string, ranges: readonly GrantedKeys[]): void {
    const granted = this.#granted.get(service) ?? new Set<string>();
    this.#granted.set(service, granted);
    for (const [from, to, token] of ranges) {
      granted.add(formatKeys(from, to, token));
    }
    while (granted.size > MAX_GRANTED) {
      granted.delete(granted.values().next().value!);
    }
  }

  getTable(service: string): KeyTable | undefined {
    return this.#tables.get(service)?.table;
  }

  findOwner(service: string, key: number): KeyOwner {
    const known = this.#tables.get(service);
    if (known === undefined) {
      return { kind: "unassigned" };
    }
    const range = findRange(known.table, key);
    if (range === undefined) {
      return { kind: "unassigned" };
    }
    const { from, to, owner: { token } } = range;
    const hasArrived = range.former.length === 0 ||
      this.#granted.get(service)?.has(formatKeys(from, to, token)) === true;
    if (!hasArrived) {
      const sinceMs = this.#movingSince.get(service)?.get(range.owner.token);
      return { kind: "moving", offset: known.offset, sinceMs: sinceMs ?? 0 };
    }
    return { kind: "owned", owner: range.owner, offset: known.offset };
  }

  /**
   * Records since when each range has been moving, and drops finished moves.
   */
  #recordMoves(service: string, table: KeyTable, nowMs: number): void {
    const before = this.#movingSince.get(service);
    const since = new Map<number, number>();
    for (const { former, owner } of table.ranges) {
      if (former.length > 0) {
        since.set(owner.token, before?.get(owner.token) ?? nowMs);
      }
    }
    this.#movingSince.set(service, since);
  }
}
