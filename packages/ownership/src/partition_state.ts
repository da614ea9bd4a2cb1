/** Parses the records of one partition of the ownership table. */
import type { StoreRecord } from "@lentilspur/ports/store";
import { getEra } from "@lentilspur/ports/store_offset";
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
  /** Term of the newest claim; undefined if no keeper has claimed yet. */
  readonly term: number | undefined;
  readonly claim: KeeperClaim | undefined;
  /** Witnesses of the current term; empty if its keeper has recorded none. */
  readonly witnesses: readonly string[];
  /** Keepers before the current one that may still act. */
  readonly unresolved: readonly UnresolvedKeeper[];
  readonly tables: ReadonlyMap<string, KeyTable>;
  readonly end: number;
  /** Unreadable tables, each with the reason; parsing skips them. */
  readonly faults: readonly string[];
}

/**
 * Whether the newest claim was made in the store's present era. If it was not,
 * later claims and tables may have been lost in a restore of the store.
 */
export function isClaimOfPresentEra({ claim, end }: PartitionState): boolean {
  return getEra(claim?.term ?? 0) === getEra(end);
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
      // A resignation is a claim record as well, so it ends the term of its
      // keeper.
      term = claim?.term ?? offset;
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
  const current = witnesses?.term === term ? witnesses : undefined;
  return {
    term,
    claim,
    witnesses: current?.instances ?? readClaimedWitnesses(claim),
    unresolved: (current ?? claim)?.unresolved ?? [],
    tables,
    end,
    faults,
  };
}

/** Claims of earlier versions name no witnesses. */
function readClaimedWitnesses(
  claim: KeeperClaim | undefined,
): readonly string[] {
  const witnesses: unknown = claim?.witnesses;
  return Array.isArray(witnesses)
    ? witnesses.filter((name) => typeof name === "string")
    : [];
}

function parseWitnesses(text: string): KeeperWitnesses | undefined {
  try {
    const value = JSON.parse(text) as KeeperWitnesses | null;
    return Number.isInteger(value?.term) && Array.isArray(value?.instances) &&
        Array.isArray(value.unresolved)
      ? value!
      : undefined;
  } catch {
    // Without readable witnesses, a successor waits the longest.
    return undefined;
  }
}

export function parseClaim(text: string): KeeperClaim | undefined {
  try {
    const claim = JSON.parse(text) as KeeperClaim | null;
    return typeof claim?.instance === "string" &&
        typeof claim.incarnation === "string" &&
        (claim.term === undefined || Number.isInteger(claim.term))
      ? claim
      : undefined;
  } catch {
    // The content is lost, but the record still starts a new term.
    return undefined;
  }
}
