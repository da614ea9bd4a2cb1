/**
 * A store of keyed records in partitions, with linearizable conditional
 * appends. It keeps the newest record of each key for ever; older ones expire.
 */
import type { Result } from "@lentilspur/outcomes/result";

export interface Partition {
  readonly topic: string;
  readonly part: number;
}

export interface StoreRecord {
  readonly offset: number;
  readonly key: string;
  /** Empty where the key was dropped. */
  readonly value: string;
}

export interface StoreReadResult {
  readonly records: readonly StoreRecord[];
  /** The offset that the next append will get. */
  readonly end: number;
}

export type StoreFailure =
  /** Nothing was appended: the partition ends somewhere else. */
  | { readonly kind: "conflict"; readonly end: number }
  /** The records asked for have expired. */
  | { readonly kind: "expired" }
  /** The store did nothing; a later call may succeed. */
  | { readonly kind: "refused"; readonly message: string }
  /** Nothing is known: the call may have taken effect, or may yet. */
  | { readonly kind: "unavailable"; readonly message: string };

export interface AppendRequest {
  readonly partition: Partition;
  readonly key: string;
  readonly value: string;
  /** Appends only if the partition ends at this offset. */
  readonly at?: number;
}

/** What whoever reads may watch and end while the answer comes in. */
export interface ReadOptions {
  /** Told of each part of the answer, in bytes. */
  readonly onData?: (bytes: number) => void;
  /** Ends the call: what still comes would take room on the link. */
  readonly signal?: AbortSignal;
}

export interface ReadRequest extends ReadOptions {
  readonly partition: Partition;
  readonly from: number;
  /** How long the store may hold the call open until there is a record. */
  readonly waitMs: number;
}

export interface JoinRequest {
  readonly group: string;
  readonly member: string;
  readonly topic: string;
  /** A member that has been silent for this long loses its partitions. */
  readonly ttlMs: number;
  /** As the last join gave it; 0 at first. */
  readonly generation: number;
}

export interface GroupAssignment {
  readonly generation: number;
  /** Partitions of the topic that fall to this member. */
  readonly parts: readonly number[];
}

export interface Store {
  /** Gives the offset of the appended record. */
  append(request: AppendRequest): Promise<Result<number, StoreFailure>>;
  read(request: ReadRequest): Promise<Result<StoreReadResult, StoreFailure>>;
  /** The newest record of each key. */
  readNewest(
    partition: Partition,
    options?: ReadOptions,
  ): Promise<Result<StoreReadResult, StoreFailure>>;
  /** Joins a group of instances that divide partitions, or stays in it. */
  join(request: JoinRequest): Promise<Result<GroupAssignment, StoreFailure>>;
  leave(group: string, member: string): Promise<Result<void, StoreFailure>>;
}
