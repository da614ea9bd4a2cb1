/**
 * Client of a `FakeStore`, which gives out plain indexes: adds the store's era
 * to offsets and generations, as the client of a real store does.
 */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
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
} from "./store.ts";
import { encodeOffset, getEra, getIndex } from "./store_offset.ts";

/** The calls of a store, with indexes in place of offsets. */
export type IndexedStore = Omit<Store, "era">;

export class FakeStoreClient implements Store {
  readonly #store: IndexedStore;
  readonly #readStoreEra: () => number;
  #era = 0;

  constructor(store: IndexedStore, readStoreEra: () => number) {
    this.#store = store;
    this.#readStoreEra = readStoreEra;
  }

  get era(): number {
    return this.#era;
  }

  async append(request: AppendRequest): Promise<Result<number, StoreFailure>> {
    const { at } = request;
    if (at === undefined) {
      const appended = this.#record(await this.#store.append(request));
      return appended.ok ? Ok(encodeOffset(this.#era, appended.val)) : appended;
    }
    if (getEra(at) !== this.#era) {
      return Err({ kind: "conflict", end: encodeOffset(this.#era, 0) });
    }
    const appended = this.#record(
      await this.#store.append({ ...request, at: getIndex(at) }),
    );
    if (!appended.ok) {
      return appended;
    }
    return this.#era === getEra(at)
      ? Ok(encodeOffset(this.#era, appended.val))
      : Err({
        kind: "unavailable",
        message: "The append was carried out in another era",
      });
  }

  async read(
    request: ReadRequest,
  ): Promise<Result<StoreReadResult, StoreFailure>> {
    const { from } = request;
    if (getEra(from) !== this.#era) {
      return Err({ kind: "restored" });
    }
    const read = this.#record(
      await this.#store.read({ ...request, from: getIndex(from) }),
    );
    if (getEra(from) !== this.#era) {
      return Err({ kind: "restored" });
    }
    return read.ok ? Ok(this.#toOffsets(read.val)) : read;
  }

  async readNewest(
    partition: Partition,
    options?: ReadOptions,
  ): Promise<Result<StoreReadResult, StoreFailure>> {
    const read = this.#record(
      await this.#store.readNewest(partition, options),
    );
    return read.ok ? Ok(this.#toOffsets(read.val)) : read;
  }

  async join(
    request: JoinRequest,
  ): Promise<Result<GroupAssignment, StoreFailure>> {
    const { generation } = request;
    const index = getEra(generation) === this.#era ? getIndex(generation) : 0;
    const joined = this.#record(
      await this.#store.join({ ...request, generation: index }),
    );
    return joined.ok
      ? Ok({
        ...joined.val,
        generation: encodeOffset(this.#era, joined.val.generation),
      })
      : joined;
  }

  async leave(
    group: string,
    member: string,
  ): Promise<Result<void, StoreFailure>> {
    return this.#record(await this.#store.leave(group, member));
  }

  /** Takes over the era of a response; a call without one shows no era. */
  #record<Value>(
    result: Result<Value, StoreFailure>,
  ): Result<Value, StoreFailure> {
    if (result.ok || result.val.kind !== "unavailable") {
      this.#era = this.#readStoreEra();
    }
    return result;
  }

  #toOffsets({ records, end }: StoreReadResult): StoreReadResult {
    const era = this.#era;
    return {
      records: records.map((record) => ({
        ...record,
        offset: encodeOffset(era, record.offset),
      })),
      end: encodeOffset(era, end),
    };
  }
}
