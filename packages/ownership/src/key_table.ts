/**
 * Which target owns which keys of one service: ranges that cover all keys, in
 * order, each with its owner and the fencing token of its grant.
 *
 * A range whose former holders may still hold it names them. Nobody may be
 * granted the range before each of them has released it, has provably ended,
 * or has run out of its hold; whoever takes the table up after a crash can go
 * on from it.
 */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import { hasOverlap, LAST_KEY } from "@lentilspur/ports/key_orders";

/** A target that keys can be assigned to. */
export interface Assignee {
  readonly id: string;
  /** `host:port`, by IP number. */
  readonly address: string;
  /**
   * When this life of it began, in Unix milliseconds by its own clock; a target
   * may start again under its id. Undefined where it does not say.
   */
  readonly bornMs?: number;
}

/** A target that has been granted a range, or was about to be. */
export interface Holder extends Assignee {
  readonly token: number;
}

/** Whether both are a target at one place, in whatever life. */
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
  /** Holders before it that may hold it yet; empty once the owner has it. */
  readonly former: readonly Holder[];
}

export interface KeyTable {
  readonly ranges: readonly OwnedRange[];
}

/** The range that holds a key. */
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

/** A part of the keys that is to pass to another owner. */
export interface Reassignment {
  readonly from: number;
  readonly to: number;
  readonly owner: Assignee;
}

/**
 * The table with some keys reassigned under `token`, which is above all tokens
 * in it. Former holders stay named until they are known to hold nothing.
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
 * The table with some ranges assigned to their owners anew, under `token`:
 * `getLife` gives the owner's present life, and undefined where a range stays.
 */
export function renewTokens(
  table: KeyTable,
  getIncarnation: (range: OwnedRange) => Assignee | undefined,
  token: number,
): KeyTable {
  const ranges = table.ranges.map((range) => {
    const life = getIncarnation(range);
    return life === undefined
      ? range
      : { ...range, owner: createHolder(life, token) };
  });
  return { ranges };
}

/**
 * Stretches that each owner is dealt at first. Busy keys lie side by side, so
 * one stretch for each owner would leave half of all requests to a few of them.
 */
const INITIAL_RANGES_PER_OWNER = 6;
/** Each range costs its keeper a renewal a second, whoever owns it. */
const MAX_INITIAL_RANGES = 400;

/** All keys dealt out evenly, as the first table of a service. */
export function createTable(
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

/** The table with some ranges settled: their owners have been granted them. */
export function settleRanges(
  table: KeyTable,
  isSettled: (range: OwnedRange) => boolean,
): KeyTable {
  const ranges = table.ranges.map((range) =>
    isSettled(range) ? { ...range, former: [] } : range
  );
  return { ranges };
}

/** Ranges of the later table that the earlier one does not have as they are. */
export function diffTables(
  before: KeyTable,
  after: KeyTable,
): readonly OwnedRange[] {
  const known = new Set(before.ranges.map((range) => JSON.stringify(range)));
  return after.ranges.filter((range) => !known.has(JSON.stringify(range)));
}

/**
 * The earlier table with the difference applied. The ranges of a difference
 * cover whole ranges of the earlier table, since both cover all keys.
 */
export function applyTablePatch(
  before: KeyTable,
  patch: readonly OwnedRange[],
): KeyTable {
  const stay = before.ranges.filter((range) =>
    !patch.some((one) => hasOverlap(one, range))
  );
  const ranges = [...stay, ...patch]
    .toSorted((left, right) => left.from - right.from);
  return { ranges };
}

/** As it stands in a record: each target once, each range in a few numbers. */
interface CompactTable {
  /** Id, address and, where it tells, when its life began. */
  readonly targets: readonly (readonly [string, string, number?])[];
  /**
   * First and last key, then target and token of the owner and of each former
   * holder, the target as its place among `targets`.
   */
  readonly ranges: readonly (readonly number[])[];
}

/**
 * A range takes some 25 bytes. Written out in full it took 150, and with 180
 * targets the record was refused by the store for its size (256 KB): nothing
 * could be moved any more.
 */
export function serializeTable({ ranges }: KeyTable): string {
  const places = new Map<string, number>();
  const targets: [string, string, number?][] = [];
  const locate = ({ id, address, bornMs }: Assignee) => {
    const name = JSON.stringify([id, address, bornMs]);
    let place = places.get(name);
    if (place === undefined) {
      place = targets.length;
      places.set(name, place);
      targets.push(
        bornMs === undefined ? [id, address] : [id, address, bornMs],
      );
    }
    return place;
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

/** Fails where the text is no table, or the ranges do not cover all keys in order. */
export function parseTable(text: string): Result<KeyTable, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return Err(`The table of owners is no JSON: ${String(error)}`);
  }
  if (!isCompactTable(value)) {
    return Err("The table of owners lacks ranges, owners or tokens");
  }
  const ranges: OwnedRange[] = [];
  let next = 0;
  for (const range of value.ranges) {
    const [from, to] = range as [number, number];
    const holders = listHolders(range, value.targets);
    if (from !== next || to < from || holders === undefined) {
      return Err(`The table of owners has a gap or fault at key ${next}`);
    }
    const [owner, ...former] = holders;
    ranges.push({ from, to, owner: owner!, former });
    next = to + 1;
  }
  return next === LAST_KEY + 1
    ? Ok({ ranges })
    : Err(`The table of owners ends at key ${next - 1}`);
}

/** Undefined where a range names none, or one that there is not. */
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
  const { targets, ranges } = (value ?? {}) as Partial<CompactTable>;
  return Array.isArray(targets) && targets.every(isTarget) &&
    Array.isArray(ranges) &&
    ranges.every((range) =>
      Array.isArray(range) && range.length > 2 && range.every(Number.isInteger)
    );
}

function isTarget(value: unknown): boolean {
  if (!Array.isArray(value)) {
    return false;
  }
  const [id, address, bornMs] = value as unknown[];
  return typeof id === "string" && typeof address === "string" &&
    (bornMs === undefined || Number.isInteger(bornMs));
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

/** A holder that becomes the owner again need not give the range up first. */
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
 * Neighbours of one owner become one range under the new token; without this a
 * hot spell would leave its pieces, and a renewal for each of them, for good.
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
