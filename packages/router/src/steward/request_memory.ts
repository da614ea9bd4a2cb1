/**
 * What a steward remembers of non-idempotent requests, so that a resend never
 * runs twice.
 *
 * A record lives until its id's epoch is two epochs old; ids older than that
 * are not honoured. Records are never forgotten earlier: when the memory is
 * full, new non-idempotent requests are refused instead.
 *
 * Records are kept under the shard of their key, also while the key is placed
 * on its own, so that a hot key's records are found on both sides of its move.
 */
import type { Position } from "@lentilspur/outcomes/position";
import {
  parseRequestId,
  type RequestId,
} from "@lentilspur/outcomes/request_id";
import type { RememberedRequest } from "@lentilspur/ports/peer";
import type { UnitId } from "@lentilspur/state/entries";
import type { UnitMemory } from "../authority.ts";
import { getKeyOfUnit, makeKeyUnit } from "@lentilspur/state/units";
import {
  formatUnitName,
  MemoryFloors,
  type UnitTokens,
} from "./memory_floors.ts";

/** An id is honoured in its own epoch and in this many after it. */
const HONOURED_EPOCHS = 1;

/** A request as the memory names it. */
export interface MemorySubject {
  readonly clientAccount: string;
  readonly requestId: string;
  readonly template: string;
  readonly key: string;
  /** True where nobody can have seen the id before. */
  readonly firstSend: boolean;
}

/** How far a remembered request got; `W` is work that resends may join. */
export type Progress<W> =
  | { readonly kind: "queued"; readonly work: W }
  | { readonly kind: "dispatched"; readonly work: W }
  | { readonly kind: "ran" }
  | { readonly kind: "unknown" };

export interface MemoryRecord<W> {
  readonly name: string;
  readonly clientAccount: string;
  readonly requestId: string;
  readonly template: string;
  readonly epoch: number;
  /** Undefined where an earlier steward handed it on without its key. */
  readonly key: string | undefined;
  readonly shard: UnitId;
  progress: Progress<W>;
}

export type Claim<W> =
  /** Not seen before: the record is now queued with the work given. */
  | { readonly kind: "claimed"; readonly record: MemoryRecord<W> }
  | { readonly kind: "remembered"; readonly record: MemoryRecord<W> }
  /** It may have been seen by an earlier steward. */
  | { readonly kind: "not-remembered" }
  /** The id names a request for another key. */
  | { readonly kind: "other-request" }
  | { readonly kind: "full" };

export interface RequestMemoryOptions {
  readonly maxRecords: number;
  /** The shard that a key of a template hashes to. */
  readonly locateShard: (template: string, key: string) => UnitId;
}

type Shelf<W> = Map<string, MemoryRecord<W>>;

export class RequestMemory<W> {
  readonly #options: RequestMemoryOptions;
  readonly #shelves = new Map<string, Shelf<W>>();
  readonly #floors = new MemoryFloors();
  #recordCount = 0;
  #expiredEpoch = 0;

  constructor(options: RequestMemoryOptions) {
    this.#options = options;
  }

  get recordCount(): number {
    return this.#recordCount;
  }

  /** Looks a request up and, if it is new, claims it for `work`. */
  claim(
    subject: MemorySubject,
    tokens: UnitTokens,
    options: { readonly epoch: number; readonly work: W },
  ): Claim<W> {
    const { template, key } = subject;
    const shard = this.#options.locateShard(template, key);
    const floor = this.#claimFloor(subject, tokens, shard);
    const shelf = this.#claimShelf(template, shard);
    const name = formatRequestName(subject);
    const known = shelf.get(name);
    if (known !== undefined) {
      return known.key === undefined || known.key === key
        ? { kind: "remembered", record: known }
        : { kind: "other-request" };
    }
    const id = parseRequestId(subject.requestId);
    const { epoch } = options;
    if (id === undefined || !isCovered(subject, id, { floor, epoch })) {
      return { kind: "not-remembered" };
    }
    if (!this.#hasRoom(options.epoch)) {
      return { kind: "full" };
    }
    const record = this.#addRecord(shelf, {
      name,
      clientAccount: subject.clientAccount,
      requestId: subject.requestId,
      template,
      epoch: id.epoch,
      key,
      shard,
      progress: { kind: "queued", work: options.work },
    });
    return { kind: "claimed", record };
  }

  /** Forgets a request that provably did not run; it may be sent again. */
  release(record: MemoryRecord<W>): void {
    const shelf = this.#claimShelf(record.template, record.shard);
    if (shelf.get(record.name) === record) {
      shelf.delete(record.name);
      this.#recordCount--;
    }
  }

  /** Everything that was dispatched for these units and may have run. */
  collect(
    template: string,
    units: readonly UnitId[],
  ): readonly RememberedRequest[] {
    return units.flatMap((unit) =>
      this.#listRecords(template, unit)
        .filter((record) => record.progress.kind !== "queued")
        .map(({ clientAccount, requestId }) => ({
          clientAccount,
          requestId,
          unit,
        }))
    );
  }

  /** From where on `collect` is complete for a unit under these tokens. */
  getFloor(template: string, tokens: UnitTokens): Position {
    return this.#floors.get(
      template,
      tokens,
      this.#locateShard(template, tokens.unit),
    );
  }

  /** Takes over what was collected for these units before they changed hands. */
  add(template: string, units: readonly UnitId[], memory: UnitMemory): void {
    for (const unit of units) {
      const { floor: position, token } = memory;
      this.#floors.set(template, unit, { position, token });
    }
    for (const request of memory.remembered) {
      this.#addRemembered(template, request);
    }
  }

  /** Forgets units that are not served here any more. */
  remove(template: string, units: readonly UnitId[]): void {
    for (const unit of units) {
      this.#floors.remove(template, unit);
      for (const record of this.#listRecords(template, unit)) {
        if (!this.#isKeptForKey(record, unit)) {
          this.release(record);
        }
      }
    }
  }

  /**
   * A key that was placed on its own may have been served elsewhere after its
   * shard's floor, so both floors count for it.
   */
  #claimFloor(
    subject: MemorySubject,
    tokens: UnitTokens,
    shard: UnitId,
  ): Position {
    const { template, key } = subject;
    const floor = this.#floors.claim(template, tokens, shard);
    const keyUnit = makeKeyUnit(key);
    if (tokens.unit === keyUnit || !this.#floors.has(template, keyUnit)) {
      return floor;
    }
    const keyTokens = { ...tokens, unit: keyUnit };
    return Math.max(floor, this.#floors.get(template, keyTokens, keyUnit));
  }

  #addRemembered(template: string, request: RememberedRequest): void {
    const epoch = parseRequestId(request.requestId)?.epoch;
    const shard = this.#locateShard(template, request.unit);
    const shelf = this.#claimShelf(template, shard);
    const name = formatRequestName(request);
    if (epoch === undefined || shelf.has(name)) {
      return;
    }
    this.#addRecord(shelf, {
      name,
      clientAccount: request.clientAccount,
      requestId: request.requestId,
      template,
      epoch,
      key: getKeyOfUnit(request.unit),
      shard,
      progress: { kind: "unknown" },
    });
  }

  /** A hot key may be served here although its shard is not any more. */
  #isKeptForKey(record: MemoryRecord<W>, unit: UnitId): boolean {
    return record.key !== undefined && getKeyOfUnit(unit) === undefined &&
      this.#floors.has(record.template, makeKeyUnit(record.key));
  }

  #listRecords(template: string, unit: UnitId): readonly MemoryRecord<W>[] {
    const key = getKeyOfUnit(unit);
    const shard = this.#locateShard(template, unit);
    const shelf = this.#shelves.get(formatUnitName(template, shard));
    return [...shelf?.values() ?? []].filter((record) =>
      key === undefined || record.key === undefined || record.key === key
    );
  }

  #locateShard(template: string, unit: UnitId): UnitId {
    const key = getKeyOfUnit(unit);
    return key === undefined ? unit : this.#options.locateShard(template, key);
  }

  #claimShelf(template: string, shard: UnitId): Shelf<W> {
    const name = formatUnitName(template, shard);
    const known = this.#shelves.get(name);
    if (known !== undefined) {
      return known;
    }
    const shelf: Shelf<W> = new Map();
    this.#shelves.set(name, shelf);
    return shelf;
  }

  #addRecord(shelf: Shelf<W>, record: MemoryRecord<W>): MemoryRecord<W> {
    shelf.set(record.name, record);
    this.#recordCount++;
    return record;
  }

  /** Old epochs are swept only when room is needed, once for each epoch. */
  #hasRoom(epoch: number): boolean {
    const isFull = this.#recordCount >= this.#options.maxRecords;
    if (isFull && epoch > this.#expiredEpoch) {
      this.#expiredEpoch = epoch;
      this.#expireBefore(epoch - HONOURED_EPOCHS);
    }
    return this.#recordCount < this.#options.maxRecords;
  }

  #expireBefore(epoch: number): void {
    for (const shelf of this.#shelves.values()) {
      for (const record of shelf.values()) {
        if (record.epoch < epoch && isSettled(record.progress)) {
          this.release(record);
        }
      }
    }
  }
}

/**
 * Whether an id that is not remembered proves that nobody ran the request.
 *
 * Guards, besides resends, against a first copy that hung in a dead connection
 * and arrives when its record has expired: it shows as an epoch that is not
 * honoured any more.
 */
function isCovered(
  subject: MemorySubject,
  id: RequestId,
  options: { readonly floor: Position; readonly epoch: number },
): boolean {
  return id.epoch + HONOURED_EPOCHS >= options.epoch &&
    (subject.firstSend || id.mintedAt >= options.floor);
}

function isSettled<W>(progress: Progress<W>): boolean {
  return progress.kind === "ran" || progress.kind === "unknown";
}

function formatRequestName(
  request: { readonly clientAccount: string; readonly requestId: string },
): string {
  return `${request.clientAccount}\n${request.requestId}`;
}
