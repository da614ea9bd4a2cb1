/**
 * Fetches a whole table of owners from its keeper, for an instance that has
 * missed a difference.
 *
 * Load pattern: the store turns a third of 81 instances away for 9 s, while keys
 * move several times a second. Whoever misses one datagram can read nothing, and
 * sends requests to former owners until the store answers again.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { StoreRecord } from "@lentilspur/ports/store";
import { KEEPER_KEY } from "@lentilspur/ownership/keeper_records";
import { parseTable, serializeTable } from "@lentilspur/ownership/key_table";
import {
  decodeValue,
  encodeValue,
  FragmentAssembler,
} from "../peers/datagram_fragments.ts";
import type { KeyDirectory } from "./key_directory.ts";
import type { Member } from "../members/members.ts";
import type { PartitionView } from "./partition_view.ts";
import type { PeerMessage } from "../peers/peer_message.ts";

type TableRequest = PeerMessage & { readonly kind: "table-request" };
type TableMessage = PeerMessage & { readonly kind: "table" };

export interface TableRequestsOptions {
  readonly clock: Clock;
  readonly instance: string;
  readonly directory: KeyDirectory;
  readonly findMember: (instance: string) => Member | undefined;
  readonly getOwnersView: (part: number) => PartitionView | undefined;
  /** Up to where the tables of a partition that is kept here go. */
  readonly getTableEnd: (part: number) => number | undefined;
  /** Services whose tables stand in a partition. */
  readonly listServices: (part: number) => readonly string[];
  readonly send: (to: readonly Member[], message: PeerMessage) => boolean;
}

/** What an answer holds. */
interface TableResponse {
  readonly table: string;
  /** The keeper's claim: it may have been missed as well. */
  readonly records: readonly StoreRecord[];
}

/** An answer takes 3 to 40 ms; without one the store is asked. */
const RESPONSE_TIMEOUT_MS = 250;

export class TableRequests {
  readonly #options: TableRequestsOptions;
  readonly #joiner = new FragmentAssembler();
  /** Partitions that were asked for and have not been answered. */
  readonly #asked = new Set<number>();

  constructor(options: TableRequestsOptions) {
    this.#options = options;
  }

  /** Something up to `end` was missed: the keeper is asked, then the store. */
  async fetch(part: number, keeper: string, end: number): Promise<void> {
    const { clock, instance, findMember, getOwnersView: getOwnersTail, send } =
      this.#options;
    const member = findMember(keeper);
    if (this.#asked.has(part)) {
      return;
    }
    if (member !== undefined) {
      this.#asked.add(part);
      send([member], { kind: "table-request", from: instance, part });
      await clock.sleep(RESPONSE_TIMEOUT_MS);
      this.#asked.delete(part);
    }
    const tail = getOwnersTail(part);
    if (tail !== undefined && tail.end < end) {
      tail.scheduleRead();
    }
  }

  /** Another instance asks for the tables of a partition. */
  answer({ from, part }: TableRequest): void {
    const { findMember, getTableEnd, listServices } = this.#options;
    const asker = findMember(from);
    const end = getTableEnd(part);
    if (asker === undefined || end === undefined) {
      return;
    }
    for (const service of listServices(part)) {
      this.#sendTable(asker, { part, service, offset: end - 1 });
    }
  }

  apply({ from, part, service, offset, ...piece }: TableMessage): void {
    const { clock, directory, getOwnersView: getOwnersTail } = this.#options;
    const tail = getOwnersTail(part);
    if (tail === undefined || offset < tail.end || !tail.isLoaded) {
      return;
    }
    const packed = this.#joiner.add(`${part} ${from}`, offset, piece);
    const told = packed === undefined
      ? undefined
      : toTableResponse(decodeValue(packed));
    const parsed = told && parseTable(told.table);
    if (told === undefined || parsed?.ok !== true) {
      return;
    }
    directory.setTable(service, parsed.val, { offset, nowMs: clock.readMs() });
    tail.applyBatch({
      base: tail.end,
      end: offset + 1,
      ageMs: 0,
      sinceOutageMs: null,
      records: told.records,
    });
  }

  #sendTable(
    to: Member,
    { part, service, offset }: Pick<
      TableMessage,
      "part" | "service" | "offset"
    >,
  ): void {
    const { instance: from, directory, getOwnersView: getOwnersTail, send } =
      this.#options;
    const table = directory.getTable(service);
    const claim = getOwnersTail(part)?.getRecord(KEEPER_KEY);
    if (table === undefined || claim === undefined) {
      return;
    }
    const told: TableResponse = {
      table: serializeTable(table),
      records: [claim],
    };
    for (const piece of encodeValue(told) ?? []) {
      send([to], { kind: "table", from, part, service, offset, ...piece });
    }
  }
}

function toTableResponse(value: unknown): TableResponse | undefined {
  const { table, records } = (value ?? {}) as Partial<TableResponse>;
  return typeof table === "string" && Array.isArray(records)
    ? { table, records }
    : undefined;
}
