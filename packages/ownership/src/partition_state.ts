/** What a partition of the table of owners says, read as a whole. */
import type { StoreRecord } from "@lentilspur/ports/store";
import {
  KEEPER_KEY,
  type KeeperClaim,
  type KeeperWitnesses,
  TABLE_PREFIX,
  type UnresolvedKeeper,
  WITNESSES_KEY,
} from "./keeper_records.ts";
import { type KeyTable, parseTable } from "./key_table.ts";

export interface PartitionState {
  /** Offset of the newest claim; undefined where nobody has claimed yet. */
  readonly term: number | undefined;
  readonly claim: KeeperClaim | undefined;
  /** Those of the present term; empty where its keeper has named none. */
  readonly witnesses: readonly string[];
  /** Keepers before the present one that may act yet. */
  readonly unresolved: readonly UnresolvedKeeper[];
  readonly tables: ReadonlyMap<string, KeyTable>;
  readonly end: number;
  /** Records that cannot be read, with the reason; they are left alone. */
  readonly faults: readonly string[];
}

export function parsePartitionState(
  records: readonly StoreRecord[],
  end: number,
): PartitionState {
  const tables = new Map<string, KeyTable>();
  const faults: string[] = [];
  let term: number | undefined;
  let claim: KeeperClaim | undefined;
  let witnesses: KeeperWitnesses | undefined;
  for (const { key, value, offset } of records) {
    if (key === KEEPER_KEY) {
      claim = parseClaim(value);
      // A resignation is a record of the keeper's own; its term ends with it.
      term = offset;
    } else if (key === WITNESSES_KEY) {
      witnesses = parseWitnesses(value);
    } else if (key.startsWith(TABLE_PREFIX)) {
      const table = parseTable(value);
      if (table.ok) {
        tables.set(key.slice(TABLE_PREFIX.length), table.val);
      } else {
        faults.push(`${key}: ${table.val}`);
      }
    }
  }
  const present = witnesses?.term === term ? witnesses : undefined;
  return {
    term,
    claim,
    witnesses: present?.instances ?? [],
    unresolved: (present ?? claim)?.unresolved ?? [],
    tables,
    end,
    faults,
  };
}

function parseWitnesses(text: string): KeeperWitnesses | undefined {
  try {
    const value = JSON.parse(text) as KeeperWitnesses | null;
    return Number.isInteger(value?.term) && Array.isArray(value?.instances) &&
        Array.isArray(value.unresolved)
      ? value!
      : undefined;
  } catch {
    // Nobody is named then, which makes a successor wait the longest.
    return undefined;
  }
}

export function parseClaim(text: string): KeeperClaim | undefined {
  try {
    const claim = JSON.parse(text) as KeeperClaim | null;
    return typeof claim?.instance === "string" &&
        typeof claim.incarnation === "string"
      ? claim
      : undefined;
  } catch {
    // No claim can be read in it, which is what the result says.
    return undefined;
  }
}
