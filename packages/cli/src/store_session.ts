/**
 * A command's access to the store: reads and appends publications and
 * evacuations, and reads targets, members and owners.
 */
import {
  EMPTY_PUBLICATION,
  parsePublication,
  type Publication,
} from "@lentilspur/declarations/publication";
import { decodeMember, type Member } from "@lentilspur/gateway/members/members";
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

/** A failure of the store, or a record that cannot be parsed. */
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

  /** The latest publication at the last read. */
  get publication(): Publication {
    return this.#publication;
  }

  /** Data centres that were evacuated at the last read. */
  get evacuated(): readonly string[] {
    return this.#evacuated;
  }

  async readPublicationAndEvacuations(): Promise<Result<void, SessionFailure>> {
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

  /** Appends a publication if nothing was written since the last read. */
  appendPublication(value: string): Promise<Result<number, StoreFailure>> {
    return this.#store.append({
      partition: PUBLISHED_CONFIGURATION,
      key: PUBLISHED_CONFIGURATION.key,
      value,
      at: this.#endOffset,
    });
  }

  /**
   * Evacuates a data centre and records who did; `null` ends its evacuation.
   */
  appendEvacuation(
    dataCentre: string,
    evacuation: { readonly operator: string; readonly at: string } | null,
  ): Promise<Result<number, StoreFailure>> {
    return this.#store.append({
      partition: PUBLISHED_CONFIGURATION,
      key: `${PUBLISHED_CONFIGURATION.evacuationPrefix}${dataCentre}`,
      value: evacuation === null ? "" : JSON.stringify(evacuation),
    });
  }

  /** Lists the data centres that have targets. */
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

  /**
   * Lists the instances that have a member record; the processes of some may
   * have ended.
   */
  async listMembers(): Promise<Result<readonly Member[], StoreFailure>> {
    const read = await this.#store.readNewest(MEMBERS_PARTITION);
    if (!read.ok) {
      return Err(read.val);
    }
    return Ok(
      read.val.records.flatMap(({ key, value }) => {
        const member = decodeMember(key, value);
        return member.ok ? [member.val] : [];
      }),
    );
  }

  /**
   * Finds the range that contains a key; undefined while the service's keys
   * have no owners.
   */
  async findOwner(
    options: {
      readonly service: string;
      readonly key: number;
      readonly partitionCount: number;
    },
  ): Promise<Result<OwnedRange | undefined, SessionFailure>> {
    const { service, key, partitionCount } = options;
    const part = choosePartition(service, partitionCount);
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
      return `Another record was written first; the partition now ends at offset ${failure.end}`;
    case "expired":
    case "restored":
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
