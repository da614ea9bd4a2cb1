/**
 * Interface of a store of keyed records in partitions, with linearizable
 * conditional appends. The newest record of each key is kept forever; older
 * ones expire.
 *
 * The store may be restored from an older copy, which starts a new era: records
 * that it has acknowledged since the copy are gone. Offsets include the era
 * (`store_offset.ts`) and so never go back.
 */
import type { Result } from "@lentilspur/outcomes/result";

export interface Partition {
  readonly topic: string;
  readonly part: number;
}

export interface StoreRecord {
  readonly offset: number;
  readonly key: string;
  /** Empty if the key was deleted. */
  readonly value: string;
}

export interface StoreReadResult {
  readonly records: readonly StoreRecord[];
  /** The offset of the next append. */
  readonly end: number;
}

export type StoreFailure =
  /** Nothing was appended: the partition ends at another offset. */
  | { readonly kind: "conflict"; readonly end: number }
  /** The requested records have expired. */
  | { readonly kind: "expired" }
  /**
   * The offset is from an earlier era: the records from there on may be gone,
   * and others may have been written.
   */
  | { readonly kind: "restored" }
  /** The call had no effect; a later one may succeed. */
  | { readonly kind: "refused"; readonly message: string }
  /**
   * The outcome is unknown: the call may have taken effect, or may do so later.
   */
  | { readonly kind: "unavailable"; readonly message: string };

export interface AppendRequest {
  readonly partition: Partition;
  readonly key: string;
  readonly value: string;
  /**
   * Appends only if the partition ends at this offset, and the store is still in
   * the era of the offset.
   */
  readonly at?: number;
}

/** Lets the reader observe and cancel a read while the response arrives. */
export interface ReadOptions {
  /** Called with the size of each received chunk, in bytes. */
  readonly onData?: (bytes: number) => void;
  /**
   * Cancels the call, so that the rest of the response does not use the link.
   */
  readonly signal?: AbortSignal;
}

export interface ReadRequest extends ReadOptions {
  readonly partition: Partition;
  readonly from: number;
  /** How long the store may hold the call open until a record arrives. */
  readonly waitMs: number;
}

export interface JoinRequest {
  readonly group: string;
  readonly member: string;
  readonly topic: string;
  /** A member that does not join again for this long loses its partitions. */
  readonly ttlMs: number;
  /** The generation that the last join returned; 0 at first. */
  readonly generation: number;
}

export interface GroupAssignment {
  readonly generation: number;
  /** Partitions of the topic that are assigned to this member. */
  readonly parts: readonly number[];
}

/**
 * The store was restored from an older copy: records that were acknowledged in
 * an earlier era may be gone.
 */
export interface StoreEraChange {
  readonly era: number;
  /** Undefined for the first era that this process sees. */
  readonly previousEra: number | undefined;
}

export interface Store {
  /** The latest era that a response has shown; 0 before the first one. */
  readonly era: number;
  /** Returns the offset of the appended record. */
  append(request: AppendRequest): Promise<Result<number, StoreFailure>>;
  read(request: ReadRequest): Promise<Result<StoreReadResult, StoreFailure>>;
  /** Reads the newest record of each key. */
  readNewest(
    partition: Partition,
    options?: ReadOptions,
  ): Promise<Result<StoreReadResult, StoreFailure>>;
  /**
   * Joins a group of instances that divide partitions, or renews the
   * membership.
   */
  join(request: JoinRequest): Promise<Result<GroupAssignment, StoreFailure>>;
  leave(group: string, member: string): Promise<Result<void, StoreFailure>>;
}
