/**
 * Who held what at which position, kept from the fold's verdicts. One entry a
 * change, so its size follows the log and not the requests. The oracle checks
 * the changes against rules of its own that are simpler than the fold's.
 */
import type { Position } from "@lentilspur/outcomes/position";
import type {
  Entry,
  Envelope,
  UnitId,
  Verdict,
} from "@lentilspur/state/entries";
import {
  getKeyOfUnit,
  hashKeyToShard,
  makeShardUnit,
} from "@lentilspur/state/units";
import type { StateView } from "@lentilspur/state/view";

/** A record together with what the fold made of each of its entries. */
export interface FoldedRecord {
  readonly offset: number;
  /** Undefined where the payload was not an envelope. */
  readonly envelope: Envelope | undefined;
  readonly verdicts: readonly Verdict[];
}

/** One stretch of ownership of a unit or stewardship of a target. */
export interface Holding {
  readonly holder: string | null;
  readonly token: Position;
  /** Offset of the record that made it so. */
  readonly since: number;
  /** Author of that record. */
  readonly author: string;
  /** Kinds of the accepted entries that bore on it, in order. */
  readonly causes: readonly Entry["kind"][];
}

export interface PublishedVersion {
  readonly version: number;
  readonly position: Position;
  readonly operator: string;
  readonly documents: readonly string[];
}

export interface Membership {
  readonly instance: string;
  readonly dataCentre: string;
  readonly joinedAt: number;
  readonly removedAt: number | null;
  readonly removal: "left" | "lost" | null;
}

export interface UnitName {
  readonly template: string;
  readonly unit: UnitId;
}

export interface LeavingTarget {
  readonly target: string;
  /** Where the log declares it to be leaving. */
  readonly offset: number;
}

/** An accepted entry and where it stands. */
export interface AcceptedEntry {
  readonly offset: number;
  readonly position: Position;
  readonly author: string;
  readonly entry: Entry;
}

export class OwnershipHistory {
  readonly #units = new Map<string, Holding[]>();
  readonly #stewards = new Map<string, Holding[]>();
  readonly #members = new Map<string, Membership>();
  readonly #leaving = new Map<string, number>();
  readonly #versions: PublishedVersion[] = [];
  #firstOffset: number | undefined;
  #nextOffset = 0;

  /** The first record of the history; undefined while it is empty. */
  get firstOffset(): number | undefined {
    return this.#firstOffset;
  }

  get nextOffset(): number {
    return this.#nextOffset;
  }

  /** Takes in one record; `view` is the fold right after that record. */
  apply(record: FoldedRecord, view: StateView): readonly AcceptedEntry[] {
    this.#firstOffset ??= record.offset;
    this.#nextOffset = record.offset + 1;
    const accepted = listAcceptedEntries(record);
    for (const item of accepted) {
      this.#applyEntry(item);
    }
    this.#applyHoldings(accepted, view);
    return accepted;
  }

  listUnitHoldings(template: string, unit: UnitId): readonly Holding[] {
    return this.#units.get(formatUnitName(template, unit)) ?? [];
  }

  /** Every unit that ever had an owner, as `template/unit`. */
  listUnitNames(): readonly string[] {
    return [...this.#units.keys()];
  }

  listHoldingsByName(name: string): readonly Holding[] {
    return this.#units.get(name) ?? [];
  }

  listStewardships(target: string): readonly Holding[] {
    return this.#stewards.get(target) ?? [];
  }

  listMembers(): readonly Membership[] {
    return [...this.#members.values()];
  }

  getMember(instance: string): Membership | undefined {
    return this.#members.get(instance);
  }

  /** Offset at which the target was declared to be leaving. */
  getLeavingOffset(target: string): number | undefined {
    return this.#leaving.get(target);
  }

  listLeavingTargets(): readonly LeavingTarget[] {
    return [...this.#leaving].map(([target, offset]) => ({ target, offset }));
  }

  listVersions(): readonly PublishedVersion[] {
    return this.#versions;
  }

  #applyEntry(item: AcceptedEntry): void {
    const { entry, offset } = item;
    switch (entry.kind) {
      case "configuration-published":
        this.#versions.push({
          version: entry.expectedVersion + 1,
          position: item.position,
          operator: entry.operator,
          documents: entry.changes.map((change) =>
            `${change.kind} ${change.name}`
          ),
        });
        return;
      case "instance-joined":
        this.#members.set(entry.instance.id, {
          instance: entry.instance.id,
          dataCentre: entry.instance.dataCentre,
          joinedAt: offset,
          removedAt: null,
          removal: null,
        });
        return;
      case "instance-left":
        this.#markRemoved(entry.instance, offset, "left");
        return;
      case "instance-lost":
        this.#markRemoved(entry.instance, offset, "lost");
        return;
      case "target-joined":
        this.#leaving.delete(entry.target.id);
        return;
      case "target-leaving":
        this.#leaving.set(entry.target, offset);
        return;
      case "target-left":
      case "target-lost":
      case "steward-changed":
      case "units-assigned":
      case "move-started":
      case "move-released":
      case "move-abandoned":
      case "guardians-changed":
      case "epoch-advanced":
        return;
    }
  }

  #markRemoved(
    instance: string,
    offset: number,
    removal: "left" | "lost",
  ): void {
    const member = this.#members.get(instance);
    if (member !== undefined) {
      this.#members.set(instance, { ...member, removedAt: offset, removal });
    }
  }

  #applyHoldings(accepted: readonly AcceptedEntry[], view: StateView): void {
    for (const { template, unit } of this.#listTouchedUnits(accepted, view)) {
      const state = view.getUnit(template, unit);
      const name = formatUnitName(template, unit);
      addHolding(this.#units, name, accepted, {
        holder: state?.owner ?? null,
        token: state?.token ?? -1,
      });
    }
    for (const target of this.#listTouchedTargets(accepted)) {
      const state = view.getTarget(target);
      addHolding(this.#stewards, target, accepted, {
        holder: state?.steward ?? null,
        token: state?.stewardToken ?? -1,
      });
    }
  }

  #listTouchedUnits(
    accepted: readonly AcceptedEntry[],
    view: StateView,
  ): readonly UnitName[] {
    const touched = new Map<string, UnitName>();
    const add = (template: string, unit: UnitId): void => {
      touched.set(formatUnitName(template, unit), { template, unit });
    };
    for (const { entry } of accepted) {
      switch (entry.kind) {
        case "units-assigned":
          entry.units.forEach(({ unit }) => add(entry.template, unit));
          break;
        case "move-started":
        case "move-released":
        case "move-abandoned":
          add(entry.template, entry.unit);
          addShardOfKey(entry.template, entry.unit, view, add);
          break;
        case "target-lost":
          this.#listOwnedBy(entry.target).forEach(({ template, unit }) =>
            add(template, unit)
          );
          break;
        case "configuration-published":
          this.#listUnitsOfRemoved(entry).forEach(({ template, unit }) =>
            add(template, unit)
          );
          break;
        case "instance-joined":
        case "guardians-changed":
        case "instance-left":
        case "instance-lost":
        case "target-joined":
        case "target-leaving":
        case "target-left":
        case "steward-changed":
        case "epoch-advanced":
          break;
      }
    }
    return [...touched.values()];
  }

  /** Units of templates that this publication removed. */
  #listUnitsOfRemoved(
    entry: Extract<Entry, { readonly kind: "configuration-published" }>,
  ): readonly UnitName[] {
    const removed = new Set(
      entry.changes
        .filter(({ kind, content }) => kind === "template" && content === null)
        .map(({ name }) => name),
    );
    return removed.size === 0 ? [] : [...this.#units.keys()].map(parseUnitName)
      .filter(({ template }) => removed.has(template));
  }

  /** Units whose latest holding names this target. */
  #listOwnedBy(target: string): readonly UnitName[] {
    const owned = [];
    for (const [name, holdings] of this.#units) {
      if (holdings.at(-1)?.holder === target) {
        owned.push(parseUnitName(name));
      }
    }
    return owned;
  }

  #listTouchedTargets(accepted: readonly AcceptedEntry[]): Iterable<string> {
    const touched = new Set<string>();
    for (const { entry } of accepted) {
      switch (entry.kind) {
        case "target-joined":
          touched.add(entry.target.id);
          break;
        case "target-left":
        case "target-lost":
        case "steward-changed":
          touched.add(entry.target);
          break;
        case "instance-lost":
        case "instance-left":
          this.#listStewardedBy(entry.instance).forEach((id) =>
            touched.add(id)
          );
          break;
        case "configuration-published":
        case "instance-joined":
        case "guardians-changed":
        case "target-leaving":
        case "units-assigned":
        case "move-started":
        case "move-released":
        case "move-abandoned":
        case "epoch-advanced":
          break;
      }
    }
    return touched;
  }

  #listStewardedBy(instance: string): readonly string[] {
    return [...this.#stewards]
      .filter(([, holdings]) => holdings.at(-1)?.holder === instance)
      .map(([target]) => target);
  }
}

/** A hot key that goes back into its shard gives the shard a new token. */
function addShardOfKey(
  template: string,
  unit: UnitId,
  view: StateView,
  add: (template: string, unit: UnitId) => void,
): void {
  const key = getKeyOfUnit(unit);
  const shardCount = view.getTemplate(template)?.shardCount;
  if (key !== undefined && shardCount !== undefined) {
    add(template, makeShardUnit(hashKeyToShard(key, shardCount)));
  }
}

function addHolding(
  table: Map<string, Holding[]>,
  name: string,
  accepted: readonly AcceptedEntry[],
  present: { readonly holder: string | null; readonly token: Position },
): void {
  const holdings = table.get(name) ?? [];
  const last = holdings.at(-1);
  if (last?.holder === present.holder && last.token === present.token) {
    return;
  }
  holdings.push({
    ...present,
    since: accepted[0]!.offset,
    author: accepted[0]!.author,
    causes: accepted.map(({ entry }) => entry.kind),
  });
  table.set(name, holdings);
}

function listAcceptedEntries(record: FoldedRecord): readonly AcceptedEntry[] {
  const accepted: AcceptedEntry[] = [];
  record.envelope?.entries.forEach((entry, index) => {
    const verdict = record.verdicts[index];
    if (verdict?.kind === "accepted") {
      accepted.push({
        offset: record.offset,
        position: verdict.position,
        author: record.envelope!.author,
        entry,
      });
    }
  });
  return accepted;
}

export function formatUnitName(template: string, unit: UnitId): string {
  return `${template}/${unit}`;
}

/** Template names hold no slash, keys may. */
export function parseUnitName(name: string): UnitName {
  const slash = name.indexOf("/");
  return { template: name.slice(0, slash), unit: name.slice(slash + 1) };
}
