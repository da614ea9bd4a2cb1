/**
 * Maps the keys of one service to the targets that own them, as consecutive
 * ranges that cover all keys, each with its owner and the fencing token of its
 * grant.
 *
 * A range lists its former holders as long as they may still hold it. The range
 * must not be granted before each of them has released it, has provably ended,
 * or its hold has expired. Any keeper can resume from the table after a crash.
 */
import {
  decodeJson,
  isEndpoint,
  isListOf,
  isName,
  isOptional,
  isWhole,
  toObject,
} from "@lentilspur/outcomes/json_boundary";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import { hasOverlap, LAST_KEY } from "@lentilspur/ports/key_orders";

/** One incarnation of a target at one address. */
export interface Assignee {
  readonly id: string;
  /** `host:port`, with an IP address. */
  readonly address: string;
  /**
   * Start of this incarnation of the target, in Unix milliseconds by its own
   * clock; a target may restart under its id. Undefined if the target does not
   * report it.
   */
  readonly bornMs?: number;
}

/** A target that has been granted a range, or was about to be. */
export interface Holder extends Assignee {
  readonly token: number;
}

/** Whether both are the same target at the same address, in any incarnation. */
export function isSameEndpoint(left: Assignee, right: Assignee): boolean {
  return left.id === right.id && left.address === right.address;
}

export function isSameIncarnation(left: Assignee, right: Assignee): boolean {
  return isSameEndpoint(left, right) && left.bornMs === right.bornMs;
}

export interface OwnedRange {
  readonly from: number;
  readonly to: number;
  readonly owner: Holder;
  /**
   * Earlier holders that may still hold the range; empty once the owner has
   * been granted it.
   */
  readonly former: readonly Holder[];
}

export interface KeyTable {
  readonly ranges: readonly OwnedRange[];
}

/**
 * The highest token of a table. Tokens only rise, so of two tables of a service
 * the one with the higher token is newer, whichever was read last.
 */
export function findHighestToken({ ranges }: KeyTable): number {
  return ranges.reduce(
    (highest, { owner }) => Math.max(highest, owner.token),
    -Infinity,
  );
}

/** The range that contains a key. */
export function findRange(
  table: KeyTable,
  key: number,
): OwnedRange | undefined {
  let low = 0;
  let high = table.ranges.length - 1;
  while (low <= high) {
    const middle = (low + high) >> 1;
    const range = table.ranges[middle]!;
    if (key < range.from) {
      high = middle - 1;
    } else if (key > range.to) {
      low = middle + 1;
    } else {
      return range;
    }
  }
  return undefined;
}

/** A range of keys that is to pass to another owner. */
export interface Reassignment {
  readonly from: number;
  readonly to: number;
  readonly owner: Assignee;
}

/**
 * Reassigns keys under `token`, which is higher than all tokens in the table.
 * Former holders stay listed until they are known to hold nothing.
 */
export function applyReassignments(
  table: KeyTable,
  changes: readonly Reassignment[],
  token: number,
): KeyTable {
  let ranges = table.ranges;
  for (const change of changes) {
    ranges = ranges.flatMap((range) => splitForChange(range, change, token));
  }
  return { ranges: mergeNeighbours(ranges, token) };
}

/**
 * Assigns ranges to their owners again under `token`. `getIncarnation` returns
 * the owner's current incarnation, or undefined if a range stays unchanged.
 */
export function assignNewTokens(
  table: KeyTable,
  getIncarnation: (range: OwnedRange) => Assignee | undefined,
  token: number,
): KeyTable {
  const ranges = table.ranges.map((range) => {
    const incarnation = getIncarnation(range);
    return incarnation === undefined
      ? range
      : { ...range, owner: createHolder(incarnation, token) };
  });
  return { ranges };
}

/**
 * Ranges per owner in the first table. Busy keys are adjacent, so with one
 * range per owner, half of all requests would go to a few owners.
 */
const INITIAL_RANGES_PER_OWNER = 6;
/**
 * Each range costs its keeper one renewal per `renewIntervalMs`, whoever owns
 * it.
 */
const MAX_INITIAL_RANGES = 400;

/** Distributes all keys evenly, as the first table of a service. */
export function createKeyTable(
  owners: readonly Assignee[],
  token: number,
): KeyTable {
  const keys = LAST_KEY + 1;
  const perOwner = Math.min(
    INITIAL_RANGES_PER_OWNER,
    Math.max(1, Math.floor(MAX_INITIAL_RANGES / owners.length)),
  );
  const count = Math.min(keys, perOwner * owners.length);
  const ranges = Array.from({ length: count }, (_, index) => ({
    from: Math.floor(index * keys / count),
    to: Math.floor((index + 1) * keys / count) - 1,
    owner: createHolder(owners[index % owners.length]!, token),
    former: [],
  }));
  return { ranges: mergeNeighbours(ranges, token) };
}

/** Removes the former holders of ranges that their owners have been granted. */
export function settleRanges(
  table: KeyTable,
  isSettled: (range: OwnedRange) => boolean,
): KeyTable {
  const ranges = table.ranges.map((range) =>
    isSettled(range) ? { ...range, former: [] } : range
  );
  return { ranges };
}

/**
 * Ranges of the later table that the earlier table does not contain unchanged.
 */
export function diffTables(
  before: KeyTable,
  after: KeyTable,
): readonly OwnedRange[] {
  const known = new Set(before.ranges.map((range) => JSON.stringify(range)));
  return after.ranges.filter((range) => !known.has(JSON.stringify(range)));
}

/**
 * Applies the result of `diffTables` to the earlier table. The ranges of a
 * patch cover whole ranges of the earlier table, since both tables cover all
 * keys.
 */
export function applyTablePatch(
  before: KeyTable,
  patch: readonly OwnedRange[],
): KeyTable {
  const unchanged = before.ranges.filter((range) =>
    !patch.some((one) => hasOverlap(one, range))
  );
  const ranges = [...unchanged, ...patch]
    .toSorted((left, right) => left.from - right.from);
  return { ranges };
}

/** Undefined if the value is no list of ranges, as of `diffTables`. */
export function parsePatch(value: unknown): readonly OwnedRange[] | undefined {
  return isListOf(value, isOwnedRange, LAST_KEY + 1) ? value : undefined;
}

function isOwnedRange(value: unknown): value is OwnedRange {
  const { from, to, owner, former } = toObject(value);
  return isWhole(to, { max: LAST_KEY }) && isWhole(from, { max: to }) &&
    isHolder(owner) && isListOf(former, isHolder, MAX_FORMER);
}

function isHolder(value: unknown): value is Holder {
  const { id, address, bornMs, token } = toObject(value);
  return isTarget([id, address, bornMs]) && isTableNumber(token);
}

/**
 * Stored form of a table: each target appears once, each range as a few
 * numbers.
 */
interface CompactTable {
  /**
   * Id, address and, if the target reports it, the start of its incarnation.
   */
  readonly targets: readonly (readonly [string, string, number?])[];
  /**
   * First and last key, then target and token of the owner and of each former
   * holder. A target is given as its index in `targets`.
   */
  readonly ranges: readonly (readonly number[])[];
}

/**
 * Uses about 25 bytes per range. Written out in full, a range took 150 bytes,
 * and with 180 targets the store rejected the record for its size (limit: 256
 * KB), so no key could be moved any more.
 */
export function serializeTable({ ranges }: KeyTable): string {
  const indexes = new Map<string, number>();
  const targets: [string, string, number?][] = [];
  const locate = ({ id, address, bornMs }: Assignee) => {
    const name = JSON.stringify([id, address, bornMs]);
    let index = indexes.get(name);
    if (index === undefined) {
      index = targets.length;
      indexes.set(name, index);
      targets.push(
        bornMs === undefined ? [id, address] : [id, address, bornMs],
      );
    }
    return index;
  };
  const compact: CompactTable = {
    targets,
    ranges: ranges.map(({ from, to, owner, former }) => [
      from,
      to,
      ...[owner, ...former].flatMap((holder) => [locate(holder), holder.token]),
    ]),
  };
  return JSON.stringify(compact);
}

/** Four times the longest record that the store takes. */
const MAX_TABLE_LENGTH = 1_048_576;
/** Tokens follow offsets, of which 2^52 is in era 450,000. */
const MAX_TOKEN = 2 ** 52;
const MAX_FORMER = 100_000;

/**
 * Fails if the text is not a table, or if its ranges do not cover all keys in
 * order.
 */
export function parseTable(text: string): Result<KeyTable, string> {
  const decoded = decodeJson(text, { maxLength: MAX_TABLE_LENGTH });
  if (!decoded.ok) {
    return Err(`The ownership table ${decoded.val}`);
  }
  const value = decoded.val;
  if (!isCompactTable(value)) {
    return Err("The ownership table lacks ranges, owners or tokens");
  }
  const ranges: OwnedRange[] = [];
  let next = 0;
  for (const range of value.ranges) {
    const [from, to] = range as [number, number];
    const holders = listHolders(range, value.targets);
    if (from !== next || to < from || holders === undefined) {
      return Err(
        `The ownership table has a gap or an invalid range at key ${next}`,
      );
    }
    const [owner, ...former] = holders;
    ranges.push({ from, to, owner: owner!, former });
    next = to + 1;
  }
  return next === LAST_KEY + 1
    ? Ok({ ranges })
    : Err(`The ownership table ends at key ${next - 1} instead of ${LAST_KEY}`);
}

/** Undefined if a range names no holder or an unknown target. */
function listHolders(
  range: readonly number[],
  targets: CompactTable["targets"],
): readonly Holder[] | undefined {
  const holders: Holder[] = [];
  for (let index = 2; index < range.length; index += 2) {
    const target = targets[range[index]!];
    const token = range[index + 1];
    if (target === undefined || token === undefined) {
      return undefined;
    }
    const [id, address, bornMs] = target;
    holders.push(createHolder(
      bornMs === undefined ? { id, address } : { id, address, bornMs },
      token,
    ));
  }
  return holders.length === 0 ? undefined : holders;
}

function isCompactTable(value: unknown): value is CompactTable {
  const { targets, ranges } = toObject(value);
  return Array.isArray(targets) && targets.every(isTarget) &&
    Array.isArray(ranges) &&
    ranges.every((range) =>
      Array.isArray(range) && range.length > 2 && range.every(isTableNumber)
    );
}

function isTarget(value: unknown): boolean {
  if (!Array.isArray(value)) {
    return false;
  }
  const [id, address, bornMs] = value as unknown[];
  return isName(id) && isEndpoint(address) && isOptional(bornMs, isTableNumber);
}

/** Whether the value can be a key, an index, a token or a start time. */
function isTableNumber(value: unknown): value is number {
  return isWhole(value, { max: MAX_TOKEN });
}

function splitForChange(
  range: OwnedRange,
  change: Reassignment,
  token: number,
): readonly OwnedRange[] {
  const from = Math.max(range.from, change.from);
  const to = Math.min(range.to, change.to);
  if (from > to) {
    return [range];
  }
  const pieces: OwnedRange[] = [];
  if (range.from < from) {
    pieces.push({ ...range, to: from - 1 });
  }
  pieces.push({
    from,
    to,
    owner: createHolder(change.owner, token),
    former: listFormer(range, change.owner),
  });
  if (to < range.to) {
    pieces.push({ ...range, from: to + 1 });
  }
  return pieces;
}

/** A holder that becomes the owner again need not release the range first. */
function listFormer(range: OwnedRange, owner: Assignee): readonly Holder[] {
  return [...range.former, range.owner]
    .filter((holder) => !isSameEndpoint(holder, owner));
}

function createHolder(
  { id, address, bornMs }: Assignee,
  token: number,
): Holder {
  return { id, address, token, ...(bornMs === undefined ? {} : { bornMs }) };
}

/**
 * Merges adjacent ranges of one owner into one range under the new token.
 * Otherwise the subranges of a hotspot, and a renewal for each of them, would
 * remain forever.
 */
function mergeNeighbours(
  ranges: readonly OwnedRange[],
  token: number,
): readonly OwnedRange[] {
  const merged: OwnedRange[] = [];
  for (const range of ranges) {
    const last = merged.at(-1);
    if (
      last !== undefined && isSameIncarnation(last.owner, range.owner) &&
      last.former.length === 0 && range.former.length === 0
    ) {
      const owner = { ...last.owner, token };
      merged[merged.length - 1] = { ...last, to: range.to, owner };
    } else {
      merged.push(range);
    }
  }
  return merged;
}
