/**
 * Passes on what one instance has read or written, so that its peers need not
 * read the store. One instance, the reader, reads the targets' entries for all
 * and passes on the configuration changes that it reads; the keeper of a
 * partition of the ownership topic sends the tables that it writes. Both send
 * to the instances of their own data centre and to one instance in each other
 * data centre, which forwards the messages there.
 *
 * Each target writes its entry about once a second, and in busy periods keys
 * move several times a second. If every instance read each of these changes
 * itself, twelve instances would make 48 calls a second, which is most of what
 * they cost the store. Forwarded records are applied only if no earlier record
 * is missing; an instance that has missed some, or receives nothing, reads the
 * store itself.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { StoreRecord } from "@lentilspur/ports/store";
import type { GrantedRange } from "@lentilspur/ownership/key_keeper";
import {
  applyTablePatch,
  diffTables,
  type KeyTable,
  parsePatch,
} from "@lentilspur/ownership/key_table";
import {
  decodeValue,
  encodeValue,
  type Fragment,
  FragmentAssembler,
  MAX_FRAGMENT_LENGTH,
} from "../peers/datagram_fragments.ts";
import type { Duties } from "../members/duties.ts";
import type { KeyDirectory } from "./key_directory.ts";
import type { Member } from "../members/members.ts";
import type { PartitionView, RecordBatch } from "./partition_view.ts";
import { toRecordBatch } from "./record_batch_check.ts";
import type { PeerMessage } from "../peers/peer_message.ts";

type TargetsMessage = PeerMessage & { readonly kind: "targets" };
type ConfigurationMessage = PeerMessage & { readonly kind: "configuration" };
type OwnersMessage = PeerMessage & { readonly kind: "owners" };

export interface ViewRelayOptions {
  readonly clock: Clock;
  readonly instance: string;
  readonly directory: KeyDirectory;
  readonly duties: Duties;
  readonly findMember: (instance: string) => Member | undefined;
  readonly getTargetsView: () => PartitionView;
  readonly getConfigurationView: () => PartitionView;
  readonly getOwnersView: (part: number) => PartitionView | undefined;
  /** Fetches from the keeper the tables up to `end`, which were missed here. */
  readonly fetchTable: (part: number, keeper: string, end: number) => void;
  /**
   * Sends a message; false, without sending, if it is too long for a datagram.
   */
  readonly send: (to: readonly Member[], message: PeerMessage) => boolean;
}

/** A table that a keeper has just written. */
export interface WrittenTable {
  readonly part: number;
  readonly service: string;
  /** Offset of the record that holds the table. */
  readonly offset: number;
  readonly before: KeyTable | undefined;
  readonly after: KeyTable;
}

export class ViewRelay {
  readonly #options: ViewRelayOptions;
  readonly #assembler = new FragmentAssembler();
  /** By partition kept here: the end of its newest claim or table. */
  readonly #tableEnds = new Map<number, number>();

  constructor(options: ViewRelayOptions) {
    this.#options = options;
  }

  /** Passes on the readable entries of targets that a read returned. */
  sendTargets(
    batch: RecordBatch,
    isChange: (record: StoreRecord) => boolean,
    isReadable: (record: StoreRecord) => boolean,
  ): void {
    const { duties, instance: from } = this.#options;
    const receivers = duties.isReader()
      ? duties.listBroadcastReceivers()
      : duties.isLocalReader()
      ? duties.listLocal()
      : [];
    if (receivers.length === 0) {
      return;
    }
    // Keeps all records of an entry if any of them is a change: an entry may be
    // removed and written again.
    const changedKeys = new Set(
      batch.records.filter(isChange).map(({ key }) => key),
    );
    const records = batch.records.filter((record) =>
      changedKeys.has(record.key) && isReadable(record)
    );
    for (const chunk of splitBatch({ ...batch, records })) {
      const message: TargetsMessage = { kind: "targets", from, ...chunk };
      if (!this.#options.send(receivers, message)) {
        // Too long for a datagram. A batch without records whose base is the
        // end makes the receivers read the store.
        const { end } = message;
        this.#options.send(receivers, { ...message, base: end, records: [] });
      }
    }
  }

  applyTargets(message: TargetsMessage): void {
    this.#forward(message);
    this.#options.getTargetsView().applyBatch(message);
  }

  /** Passes on a change of the configuration if it fits into datagrams. */
  sendConfiguration({ base, end, records }: RecordBatch): void {
    const { duties, instance: from } = this.#options;
    if (records.length === 0 || !duties.isReader()) {
      return;
    }
    for (const fragment of encodeValue({ base, records }) ?? []) {
      this.#sendToAll({ kind: "configuration", from, end, ...fragment });
    }
  }

  applyConfiguration(message: ConfigurationMessage): void {
    this.#forward(message);
    const view = this.#options.getConfigurationView();
    const { from, end } = message;
    if (end <= view.end) {
      return;
    }
    const joined = this.#assembler.add(
      `configuration of ${from}`,
      end,
      message,
    );
    const batch = joined === undefined
      ? undefined
      : toRecordBatch(decodeValue(joined), end);
    if (batch !== undefined) {
      view.applyBatch({ ...batch, end, ageMs: 0, sinceOutageMs: null });
    }
  }

  /**
   * Sends a newly written table to all instances, as the difference to the
   * previous table. A difference that is too long is sent without its content,
   * so that the receivers fetch the table.
   */
  sendTableDiff(written: WrittenTable): void {
    const { part, service, offset, before, after } = written;
    const since = this.#tableEnds.get(part) ?? offset;
    this.#tableEnds.set(part, offset + 1);
    const fragments = before === undefined
      ? undefined
      : encodeValue(diffTables(before, after));
    for (const fragment of fragments ?? [EMPTY_FRAGMENT]) {
      this.#sendOwners({ part, offset, since, service, ...fragment });
    }
  }

  /**
   * Announces to all instances that a range has reached its new owner. A record
   * confirms this up to 1 s later; until then, requests for its keys would
   * wait. The announcement is only a hint: a target refuses requests for a key
   * that it does not hold.
   */
  sendGranted({ service, range }: GrantedRange): void {
    const { directory, instance: from } = this.#options;
    const { from: first, to, owner } = range;
    const ranges = [[first, to, owner.token]] as const;
    directory.applyGranted(service, ranges);
    this.#sendToAll({ kind: "granted", from, service, ranges });
  }

  applyGranted(message: PeerMessage & { readonly kind: "granted" }): void {
    this.#forward(message);
    this.#options.directory.applyGranted(message.service, message.ranges);
  }

  /**
   * Announces to all instances that this one is now the keeper of a partition.
   */
  sendClaim(part: number, offset: number): void {
    this.#tableEnds.set(part, offset + 1);
    this.#sendOwners({
      part,
      offset,
      since: offset,
      service: "",
      ...EMPTY_FRAGMENT,
    });
  }

  /**
   * Records up to where the keeper has read its partition. A table before this
   * end may have been written without being announced, because the response to
   * its append was lost. If a receiver without that table applied the next
   * difference, keys would have wrong owners for good. So a receiver applies a
   * difference only if it knows the partition up to this end.
   */
  recordTableEnd(part: number, end: number): void {
    this.#tableEnds.set(part, end);
  }

  /**
   * End of the newest claim or table in a partition kept here, up to which the
   * other instances have to know the partition. The keeper's other records are
   * for its successors only. Undefined if nothing was written here.
   */
  getTableEnd(part: number): number | undefined {
    return this.#tableEnds.get(part);
  }

  #sendOwners(fields: Omit<OwnersMessage, "kind" | "from">): void {
    const { instance: from } = this.#options;
    this.#sendToAll({ kind: "owners", from, ...fields });
  }

  #sendToAll(message: PeerMessage): void {
    const { duties, send } = this.#options;
    send(duties.listBroadcastReceivers(), message);
  }

  /**
   * Forwards a message from another data centre to the instances of this one.
   */
  #forward(message: PeerMessage): void {
    const { duties, send, findMember } = this.#options;
    const sender = findMember(message.from);
    if (sender !== undefined) {
      send(duties.listForwardReceivers(sender.dataCentre), message);
    }
  }

  /**
   * Handles a message without a difference, or with one that cannot be applied
   * here. Reads the store after a claim, which carries no table; otherwise
   * fetches the whole table.
   */
  #handleUnusableDiff(
    { from, part, service, offset }: OwnersMessage,
    view: PartitionView,
  ): void {
    if (service === "") {
      view.scheduleRead();
    } else {
      this.#options.fetchTable(part, from, offset + 1);
    }
  }

  /**
   * Applies the difference of a table that a keeper has sent. Whole tables are
   * handled by `TableRequests`.
   */
  applyTableDiff(message: OwnersMessage): void {
    this.#forward(message);
    const { directory, getOwnersView } = this.#options;
    const { part, service, offset, since } = message;
    const view = getOwnersView(part);
    if (view === undefined || offset < view.end) {
      return;
    }
    // If a fragment is lost, the next table reveals that one was missed.
    const joined = this.#assembler.add(`${part}`, offset, message);
    if (joined === undefined) {
      return;
    }
    const patch = parsePatch(decodeValue(joined));
    const before = directory.getTable(service);
    if (patch === undefined || before === undefined || view.end < since) {
      this.#handleUnusableDiff(message, view);
      return;
    }
    directory.setTable(service, applyTablePatch(before, patch), {
      offset,
      nowMs: this.#options.clock.readMs(),
    });
    view.applyBatch({
      base: since,
      end: offset + 1,
      ageMs: 0,
      sinceOutageMs: null,
      records: [],
    });
  }
}

/** No content: the receiver fetches the table or reads the store. */
const EMPTY_FRAGMENT: Fragment = { text: "", piece: 0, pieces: 1 };

/**
 * Splits a batch into batches that fit into one datagram each, and of which
 * each starts where the one before ends. If a third of 180 targets leaves at
 * once, this takes 20 datagrams; otherwise, 200 instances would all read the
 * store at that moment.
 */
function splitBatch(batch: RecordBatch): readonly RecordBatch[] {
  const chunks: RecordBatch[] = [];
  let { base } = batch;
  let records: StoreRecord[] = [];
  let length = 0;
  for (const record of batch.records) {
    const addedLength = JSON.stringify(record).length;
    if (records.length > 0 && length + addedLength > MAX_FRAGMENT_LENGTH) {
      const end = record.offset;
      chunks.push({ ...batch, base, end, records });
      base = end;
      records = [];
      length = 0;
    }
    records.push(record);
    length += addedLength;
  }
  chunks.push({ ...batch, base, records });
  return chunks;
}
