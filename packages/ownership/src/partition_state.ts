/** Parses the records of one partition of the ownership table. */
import {
  decodeJson,
  isBoolean,
  isListOf,
  isOptional,
  isText,
  isWhole,
  MAX_NAME_LENGTH,
  toObject,
} from "@lentilspur/outcomes/json_boundary";
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

/** Four times the longest record that the store takes. */
const LIMITS = { maxLength: 1_048_576 };
/** Terms and start numbers follow offsets; 2^52 is in era 450,000. */
const MAX_TERM = 2 ** 52;
/** More than the instances of the planned size. */
const MAX_WITNESSES = 20_000;
const MAX_UNRESOLVED = 20_000;

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
      claim = parseClaim({ value, offset });
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

/** Without readable witnesses, a successor waits the longest. */
function parseWitnesses(text: string): KeeperWitnesses | undefined {
  const decoded = decodeJson(text, LIMITS);
  const { term, instances, unresolved } = toObject(
    decoded.ok ? decoded.val : undefined,
  );
  return isTerm(term) && isListOf(instances, isIncarnation, MAX_WITNESSES) &&
      isListOf(unresolved, isUnresolvedKeeper, MAX_UNRESOLVED)
    ? { term, instances, unresolved }
    : undefined;
}

/**
 * Undefined if the content cannot be read; the record still starts a new term.
 * The term of a claim is not above the offset of its record.
 */
export function parseClaim(
  { value: text, offset }: Pick<StoreRecord, "value" | "offset">,
): KeeperClaim | undefined {
  const decoded = decodeJson(text, LIMITS);
  const value = decoded.ok ? decoded.val : undefined;
  return isClaim(value) && (value.term ?? 0) <= offset ? value : undefined;
}

function isClaim(value: unknown): value is KeeperClaim {
  const { instance, incarnation, term, startNumber, resigned, canLapse } =
    toObject(value);
  const { unresolved } = toObject(value);
  return isText(instance, MAX_NAME_LENGTH) &&
    isText(incarnation, MAX_NAME_LENGTH) && isOptional(term, isTerm) &&
    isOptional(startNumber, isTerm) && isOptional(resigned, isBoolean) &&
    isOptional(canLapse, isBoolean) &&
    (unresolved === undefined ||
      isListOf(unresolved, isUnresolvedKeeper, MAX_UNRESOLVED));
}

function isUnresolvedKeeper(value: unknown): value is UnresolvedKeeper {
  const { witnesses, term, replacedForMs } = toObject(value);
  return isClaim(value) && isTerm(term) &&
    isListOf(witnesses, isIncarnation, MAX_WITNESSES) &&
    isOptional(replacedForMs, isNumber);
}

/** Whether the value can be a term or a start number. */
function isTerm(value: unknown): value is number {
  return isWhole(value, { min: -1, max: MAX_TERM });
}

function isIncarnation(value: unknown): value is string {
  return isText(value, 2 * MAX_NAME_LENGTH);
}

function isNumber(value: unknown): value is number {
  return typeof value === "number";
}
