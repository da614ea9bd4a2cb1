/**
 * Fetches whole ownership tables from their keeper for an instance that has
 * missed an update of them, and answers such requests of its peers.
 *
 * Without this, an instance that misses one datagram while the store refuses
 * its calls would send requests to former owners until the store responds
 * again. This matters in an outage in which the store refuses the calls of a
 * third of 81 instances for 9 s while keys move several times a second.
 */
import { isListOf, toObject } from "@lentilspur/outcomes/json_boundary";
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
import { isRecord } from "./record_batch_check.ts";
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
  /**
   * Offset up to which the tables of a partition kept by this instance extend;
   * undefined for other partitions.
   */
  readonly getTableEnd: (part: number) => number | undefined;
  /** Lists the services whose tables are in a partition. */
  readonly listServices: (part: number) => readonly string[];
  readonly send: (to: readonly Member[], message: PeerMessage) => boolean;
}

/** Content of a response. */
interface TableResponse {
  readonly table: string;
  /** The keeper's claim, which the receiver may have missed as well. */
  readonly records: readonly StoreRecord[];
}

/** A response takes 3 to 40 ms; without a response the store is read. */
const RESPONSE_TIMEOUT_MS = 250;
/** A response has one record beside the table. */
const MAX_RECORDS = 16;

export class TableRequests {
  readonly #options: TableRequestsOptions;
  readonly #assembler = new FragmentAssembler();
  /** Partitions with a request in flight. */
  readonly #pendingParts = new Set<number>();

  constructor(options: TableRequestsOptions) {
    this.#options = options;
  }

  /**
   * Requests the tables of a partition from its keeper. Schedules a read of the
   * store if the view has not reached `end` after `RESPONSE_TIMEOUT_MS`, or at
   * once if the keeper is unknown.
   */
  async fetch(part: number, keeper: string, end: number): Promise<void> {
    const { clock, instance, findMember, getOwnersView, send } = this.#options;
    const member = findMember(keeper);
    if (this.#pendingParts.has(part)) {
      return;
    }
    if (member !== undefined) {
      this.#pendingParts.add(part);
      send([member], { kind: "table-request", from: instance, part });
      await clock.sleep(RESPONSE_TIMEOUT_MS);
      this.#pendingParts.delete(part);
    }
    const view = getOwnersView(part);
    if (view !== undefined && view.end < end) {
      view.scheduleRead();
    }
  }

  /** Answers another instance's request for the tables of a partition. */
  answer({ from, part }: TableRequest): void {
    const { findMember, getTableEnd, listServices } = this.#options;
    const requester = findMember(from);
    const end = getTableEnd(part);
    if (requester === undefined || end === undefined) {
      return;
    }
    for (const service of listServices(part)) {
      this.#sendTable(requester, { part, service, offset: end - 1 });
    }
  }

  /**
   * Applies the table of one service, and advances the view past its offset. A
   * table whose offset the view has passed is ignored. The tables of a response
   * have the same offset, so only the first one that is complete is applied.
   */
  apply({ from, part, service, offset, ...fragment }: TableMessage): void {
    const { clock, directory, getOwnersView } = this.#options;
    const view = getOwnersView(part);
    if (view === undefined || offset < view.end || !view.isLoaded) {
      return;
    }
    const joined = this.#assembler.add(`${part} ${from}`, offset, fragment);
    const response = joined === undefined
      ? undefined
      : toTableResponse(decodeValue(joined));
    const parsed = response && parseTable(response.table);
    if (response === undefined || parsed?.ok !== true) {
      return;
    }
    directory.setTable(service, parsed.val, { offset, nowMs: clock.readMs() });
    view.applyBatch({
      base: view.end,
      end: offset + 1,
      ageMs: 0,
      sinceOutageMs: null,
      records: response.records,
    });
  }

  #sendTable(
    to: Member,
    { part, service, offset }: Pick<
      TableMessage,
      "part" | "service" | "offset"
    >,
  ): void {
    const { instance: from, directory, getOwnersView, send } = this.#options;
    const table = directory.getTable(service);
    const claim = getOwnersView(part)?.getRecord(KEEPER_KEY);
    if (table === undefined || claim === undefined) {
      return;
    }
    const response: TableResponse = {
      table: serializeTable(table),
      records: [claim],
    };
    for (const fragment of encodeValue(response) ?? []) {
      send([to], { kind: "table", from, part, service, offset, ...fragment });
    }
  }
}

function toTableResponse(value: unknown): TableResponse | undefined {
  const { table, records } = toObject(value);
  return typeof table === "string" && isListOf(records, isRecord, MAX_RECORDS)
    ? { table, records }
    : undefined;
}
