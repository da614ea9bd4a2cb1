/** What a command has read of the store: the publication in force, and more. */
import {
  EMPTY_PUBLICATION,
  parsePublication,
  type Publication,
} from "@lentilspur/declarations/publication";
import { type Member, parseMember } from "@lentilspur/gateway/members/members";
import { choosePartition } from "@lentilspur/gateway/keeper/service_partition";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import {
  findRange,
  type OwnedRange,
  parseTable,
} from "@lentilspur/ownership/key_table";
import { formatTableKey } from "@lentilspur/ownership/keeper_records";
import {
  MEMBERS_PARTITION,
  OWNERS_TOPIC,
  PUBLISHED_CONFIGURATION,
  TARGETS_PARTITION,
} from "@lentilspur/platform/declared_adapter";
import { decodeTarget } from "@lentilspur/platform/target_format";
import type { Store, StoreFailure, StoreRecord } from "@lentilspur/ports/store";

/** A failure of the store, or a record that cannot be read. */
export type SessionFailure =
  | StoreFailure
  | { readonly kind: "unreadable"; readonly message: string };

export class StoreSession {
  readonly #store: Store;
  #publication = EMPTY_PUBLICATION;
  #evacuated: readonly string[] = [];
  #endOffset = 0;

  constructor(store: Store) {
    this.#store = store;
  }

  /** In force as of the last read. */
  get publication(): Publication {
    return this.#publication;
  }

  /** Data centres that get no new work, as of the last read. */
  get evacuated(): readonly string[] {
    return this.#evacuated;
  }

  async readPublications(): Promise<Result<void, SessionFailure>> {
    const read = await this.#store.readNewest(PUBLISHED_CONFIGURATION);
    if (!read.ok) {
      return Err(read.val);
    }
    const { records, end } = read.val;
    const record = records.find(({ key }) =>
      key === PUBLISHED_CONFIGURATION.key
    );
    const parsed = record === undefined
      ? Ok(EMPTY_PUBLICATION)
      : parsePublication(record.value);
    if (!parsed.ok) {
      return Err({ kind: "unreadable", message: parsed.val });
    }
    this.#publication = parsed.val;
    this.#evacuated = listEvacuated(records);
    this.#endOffset = end;
    return Ok(undefined);
  }

  /** Appends only if nothing was written since the last read. */
  appendPublication(value: string): Promise<Result<number, StoreFailure>> {
    return this.#store.append({
      partition: PUBLISHED_CONFIGURATION,
      key: PUBLISHED_CONFIGURATION.key,
      value,
      at: this.#endOffset,
    });
  }

  /** Evacuates a data centre, with a note of who did; `null` restores it. */
  appendEvacuation(
    dataCentre: string,
    note: { readonly operator: string; readonly at: string } | null,
  ): Promise<Result<number, StoreFailure>> {
    return this.#store.append({
      partition: PUBLISHED_CONFIGURATION,
      key: `${PUBLISHED_CONFIGURATION.evacuationPrefix}${dataCentre}`,
      value: note === null ? "" : JSON.stringify(note),
    });
  }

  /** Data centres in which targets stand. */
  async listDataCentres(): Promise<Result<readonly string[], StoreFailure>> {
    const read = await this.#store.readNewest(TARGETS_PARTITION);
    if (!read.ok) {
      return Err(read.val);
    }
    const names = read.val.records.flatMap(({ key, value }) => {
      const target = decodeTarget(key, value);
      return target.ok ? [target.val.dataCentre] : [];
    });
    return Ok([...new Set(names)].toSorted());
  }

  /** Instances that have said where they are; some may be gone. */
  async listMembers(): Promise<Result<readonly Member[], StoreFailure>> {
    const read = await this.#store.readNewest(MEMBERS_PARTITION);
    if (!read.ok) {
      return Err(read.val);
    }
    return Ok(
      read.val.records.flatMap(({ key, value }) =>
        parseMember(key, value) ?? []
      ),
    );
  }

  /** The range that holds a key; undefined while nobody owns the service's. */
  async findOwner(
    options: {
      readonly service: string;
      readonly key: number;
      readonly partitionCount: number;
    },
  ): Promise<Result<OwnedRange | undefined, SessionFailure>> {
    const { service, key, partitionCount: parts } = options;
    const part = choosePartition(service, parts);
    const read = await this.#store.readNewest({ topic: OWNERS_TOPIC, part });
    if (!read.ok) {
      return Err(read.val);
    }
    const record = findTable(read.val.records, service);
    if (record === undefined) {
      return Ok(undefined);
    }
    const table = parseTable(record.value);
    return table.ok
      ? Ok(findRange(table.val, key))
      : Err({ kind: "unreadable", message: table.val });
  }
}

export function describeStoreFailure(failure: SessionFailure): string {
  switch (failure.kind) {
    case "conflict":
      return `Somebody else wrote first; the partition ends at ${failure.end}`;
    case "expired":
      return "The records asked for have expired; try again";
    case "refused":
    case "unavailable":
      return `The store cannot be reached: ${failure.message}`;
    case "unreadable":
      return failure.message;
  }
}

function listEvacuated(records: readonly StoreRecord[]): readonly string[] {
  const { evacuationPrefix } = PUBLISHED_CONFIGURATION;
  return records
    .filter(({ key, value }) =>
      key.startsWith(evacuationPrefix) && value !== ""
    )
    .map(({ key }) => key.slice(evacuationPrefix.length))
    .toSorted();
}

function findTable(
  records: readonly StoreRecord[],
  service: string,
): StoreRecord | undefined {
  const key = formatTableKey(service);
  return records.find((record) => record.key === key);
}
