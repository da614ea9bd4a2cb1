/**
 * In-memory store in virtual time, with conditional appends, newest records,
 * groups, restores from an older copy, and injected failures.
 */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Clock } from "./clock.ts";
import { FakeStoreClient, type IndexedStore } from "./fake_store_client.ts";
import { encodeOffset } from "./store_offset.ts";
import type {
  AppendRequest,
  GroupAssignment,
  JoinRequest,
  Partition,
  ReadOptions,
  ReadRequest,
  Store,
  StoreFailure,
  StoreReadResult,
  StoreRecord,
} from "./store.ts";

/** How the store handles the calls of one caller. */
export type StoreFaultMode =
  | "serving"
  /** Calls fail with an error and have no effect. */
  | "refusing"
  /** Calls get no response and have no effect. */
  | "silent"
  /** Appends take effect, but their responses are lost. */
  | "losing-answers"
  /** Appends get no response, and take effect seconds later if they still can. */
  | "late";

const CALL_LATENCY_MS = 4;
const RESPONSE_TIMEOUT_MS = 1_000;
const LATE_APPEND_MS = 2_500;
const READ_POLL_MS = 5;
/** A response on a slow link arrives in chunks of this duration. */
const CHUNK_MS = 40;

interface StoredRecord extends StoreRecord {
  readonly appendedAtMs: number;
}

interface GroupMember {
  readonly joinedAtMs: number;
  expiresAtMs: number;
  parts: number[];
}

interface Group {
  generation: number;
  readonly members: Map<string, GroupMember>;
}

export interface RestoreOptions {
  /** Records that were appended within this time before are lost. */
  readonly copyAgeMs: number;
  /** How long the store answers nobody before it comes back. */
  readonly awayMs?: number;
  /** Partitions whose writers write the lost records again. */
  readonly rewritten?: readonly Partition[];
}

export class FakeStore {
  readonly #clock: Clock;
  readonly #parts: number;
  readonly #records = new Map<string, StoredRecord[]>();
  readonly #firstRetained = new Map<string, number>();
  readonly #groups = new Map<string, Group>();
  readonly #faultModes = new Map<string, StoreFaultMode>();
  readonly #linkRates = new Map<string, number>();
  #era = 0;
  #awayUntilMs = -Infinity;

  constructor(clock: Clock, parts = 1) {
    this.#clock = clock;
    this.#parts = parts;
  }

  /** Creates a client through which one caller uses the store. */
  createClient(caller: string): Store {
    const client = new FakeStoreClient(
      this.createIndexedClient(caller),
      () => this.#era,
    );
    // Tests replace single calls, which they cannot do with methods of a class.
    return {
      get era() {
        return client.era;
      },
      append: (request) => client.append(request),
      read: (request) => client.read(request),
      readNewest: (partition, options) => client.readNewest(partition, options),
      join: (request) => client.join(request),
      leave: (group, member) => client.leave(group, member),
    };
  }

  /** As `createClient`, with the indexes that the store itself uses. */
  createIndexedClient(caller: string): IndexedStore {
    return {
      append: (request) => this.#append(caller, request),
      read: (request) => this.#read(caller, request),
      readNewest: (partition, options) =>
        this.#readNewest(caller, partition, options),
      join: (request) => this.#join(caller, request),
      leave: (group, member) => this.#leave(caller, group, member),
    };
  }

  setFaultMode(caller: string, mode: StoreFaultMode): void {
    this.#faultModes.set(caller, mode);
  }

  /** Sets the rate at which read responses reach a caller. */
  setLinkRate(caller: string, bytesPerMs: number): void {
    this.#linkRates.set(caller, bytesPerMs);
  }

  /**
   * Expires all records of a partition; `readNewest` still returns the newest
   * of each key.
   */
  removeHistory(partition: Partition): void {
    const name = formatPartition(partition);
    this.#firstRetained.set(name, this.#getRecords(name).length);
  }

  /** Assigns all partitions to other members of their groups. */
  moveParts(): void {
    for (const group of this.#groups.values()) {
      const [first] = group.members;
      if (first !== undefined) {
        const [name, member] = first;
        group.members.delete(name);
        group.members.set(name, member);
        this.#assignParts(group);
      }
    }
  }

  /** How often the store has been restored. */
  get era(): number {
    return this.#era;
  }

  /**
   * Comes back from a copy: later records and members of groups are gone, and
   * their offsets are given out again.
   */
  restore({ copyAgeMs, awayMs = 0, rewritten = [] }: RestoreOptions): void {
    this.#era++;
    this.#awayUntilMs = this.#clock.readMs() + awayMs;
    const copiedAtMs = this.#clock.readMs() - copyAgeMs;
    const rewrittenNames = rewritten.map(formatPartition);
    for (const [name, list] of this.#records) {
      const kept = list.findIndex((one) => one.appendedAtMs > copiedAtMs);
      const lost = kept < 0 ? [] : list.splice(kept);
      this.#firstRetained.set(
        name,
        Math.min(this.#firstRetained.get(name) ?? 0, list.length),
      );
      if (rewrittenNames.includes(name)) {
        lost.forEach(({ key, value }) => this.#appendRecord(list, key, value));
      }
    }
    for (const group of this.#groups.values()) {
      this.#restoreGroup(group, copiedAtMs);
    }
  }

  #restoreGroup(group: Group, copiedAtMs: number): void {
    let lost = 0;
    for (const [name, { joinedAtMs }] of group.members) {
      if (joinedAtMs > copiedAtMs) {
        group.members.delete(name);
        lost++;
      }
    }
    group.generation = Math.max(0, group.generation - lost - 1);
    this.#assignParts(group);
  }

  /** Appends a record as a caller outside the test. */
  write(partition: Partition, key: string, value: string): number {
    const index = this.#apply({ partition, key, value }).unwrap();
    return encodeOffset(this.#era, index);
  }

  listRecords(partition: Partition): readonly StoreRecord[] {
    return this.#getRecords(formatPartition(partition))
      .map(({ offset, key, value }) => ({
        offset: encodeOffset(this.#era, offset),
        key,
        value,
      }));
  }

  async #append(
    caller: string,
    request: AppendRequest,
  ): Promise<Result<number, StoreFailure>> {
    const failure = await this.#waitForCall(caller);
    if (failure !== undefined) {
      return Err(failure);
    }
    if (this.#faultModes.get(caller) === "late") {
      void this.#clock.sleep(LATE_APPEND_MS).then(() => this.#apply(request));
      return await this.#failSilently();
    }
    const applied = this.#apply(request);
    if (this.#faultModes.get(caller) === "losing-answers") {
      await this.#clock.sleep(RESPONSE_TIMEOUT_MS);
      return Err({
        kind: "unavailable",
        message: "The response of the store was lost",
      });
    }
    return applied;
  }

  #apply(request: AppendRequest): Result<number, StoreFailure> {
    const list = this.#getRecords(formatPartition(request.partition));
    if (request.at !== undefined && request.at !== list.length) {
      return Err({ kind: "conflict", end: list.length });
    }
    return Ok(this.#appendRecord(list, request.key, request.value));
  }

  #appendRecord(list: StoredRecord[], key: string, value: string): number {
    const offset = list.length;
    list.push({ offset, key, value, appendedAtMs: this.#clock.readMs() });
    return offset;
  }

  async #read(
    caller: string,
    request: ReadRequest,
  ): Promise<Result<StoreReadResult, StoreFailure>> {
    const failure = await this.#waitForCall(caller);
    if (failure !== undefined) {
      return Err(failure);
    }
    const era = this.#era;
    const name = formatPartition(request.partition);
    const untilMs = this.#clock.readMs() + request.waitMs;
    while (
      this.#getRecords(name).length === request.from && this.#era === era &&
      this.#clock.readMs() < untilMs
    ) {
      await this.#clock.sleep(READ_POLL_MS);
    }
    if (this.#era !== era) {
      return await this.#failSilently();
    }
    const list = this.#getRecords(name);
    if (
      request.from < (this.#firstRetained.get(name) ?? 0) ||
      request.from > list.length
    ) {
      return Err({ kind: "expired" });
    }
    const slice = { records: list.slice(request.from), end: list.length };
    await this.#transfer(caller, slice, request);
    return Ok(slice);
  }

  async #readNewest(
    caller: string,
    partition: Partition,
    options: ReadOptions = {},
  ): Promise<Result<StoreReadResult, StoreFailure>> {
    const failure = await this.#waitForCall(caller);
    if (failure !== undefined) {
      return Err(failure);
    }
    const list = this.#getRecords(formatPartition(partition));
    const newest = new Map(list.map((record) => [record.key, record]));
    const records = [...newest.values()].filter(({ value }) => value !== "");
    const slice = { records, end: list.length };
    await this.#transfer(caller, slice, options);
    return Ok(slice);
  }

  /** Delivers a response in chunks at the rate of the caller's link. */
  async #transfer(
    caller: string,
    { records }: StoreReadResult,
    { onData }: ReadOptions,
  ): Promise<void> {
    const bytesPerMs = this.#linkRates.get(caller) ?? Infinity;
    let remainingBytes = records.reduce(
      (sum, { value }) => sum + value.length,
      0,
    );
    while (remainingBytes > 0 && bytesPerMs < Infinity) {
      const bytes = Math.min(remainingBytes, CHUNK_MS * bytesPerMs);
      await this.#clock.sleep(bytes / bytesPerMs);
      onData?.(bytes);
      remainingBytes -= bytes;
    }
  }

  async #join(
    caller: string,
    request: JoinRequest,
  ): Promise<Result<GroupAssignment, StoreFailure>> {
    const failure = await this.#waitForCall(caller);
    if (failure !== undefined) {
      return Err(failure);
    }
    const group = this.#getGroup(request.group);
    this.#expireMembers(group);
    const known = group.members.get(request.member);
    const joinedAtMs = this.#clock.readMs();
    const expiresAtMs = joinedAtMs + request.ttlMs;
    if (known === undefined) {
      group.members.set(request.member, { joinedAtMs, expiresAtMs, parts: [] });
      this.#assignParts(group);
    } else {
      known.expiresAtMs = expiresAtMs;
    }
    const { parts } = group.members.get(request.member)!;
    return Ok({ generation: group.generation, parts });
  }

  async #leave(
    caller: string,
    name: string,
    member: string,
  ): Promise<Result<void, StoreFailure>> {
    const failure = await this.#waitForCall(caller);
    if (failure !== undefined) {
      return Err(failure);
    }
    const group = this.#getGroup(name);
    if (group.members.delete(member)) {
      this.#assignParts(group);
    }
    return Ok(undefined);
  }

  #expireMembers(group: Group): void {
    const nowMs = this.#clock.readMs();
    for (const [name, { expiresAtMs }] of group.members) {
      if (expiresAtMs <= nowMs) {
        group.members.delete(name);
        this.#assignParts(group);
      }
    }
  }

  #assignParts(group: Group): void {
    group.generation++;
    const members = [...group.members.values()];
    for (const [index, member] of members.entries()) {
      member.parts = Array.from({ length: this.#parts }, (_, part) => part)
        .filter((part) => part % members.length === index);
    }
  }

  async #waitForCall(caller: string): Promise<StoreFailure | undefined> {
    const mode = this.#clock.readMs() < this.#awayUntilMs
      ? "silent"
      : this.#faultModes.get(caller) ?? "serving";
    switch (mode) {
      case "serving":
      case "losing-answers":
      case "late":
        await this.#clock.sleep(CALL_LATENCY_MS);
        return undefined;
      case "refusing":
        await this.#clock.sleep(CALL_LATENCY_MS);
        return { kind: "refused", message: "The store refused the call" };
      case "silent":
        return (await this.#failSilently()).val;
    }
  }

  async #failSilently(): Promise<Err<StoreFailure>> {
    await this.#clock.sleep(RESPONSE_TIMEOUT_MS);
    return Err({ kind: "unavailable", message: "The store sent no response" });
  }

  #getRecords(name: string): StoredRecord[] {
    const list = this.#records.get(name) ?? [];
    this.#records.set(name, list);
    return list;
  }

  #getGroup(name: string): Group {
    const group = this.#groups.get(name) ??
      { generation: 0, members: new Map() };
    this.#groups.set(name, group);
    return group;
  }
}

function formatPartition({ topic, part }: Partition): string {
  return `${topic}/${part}`;
}
