/**
 * Spares the store most reads: one instance follows the targets' entries and the
 * configuration for all, and the keeper of a partition of owners passes on what it has written.
 * Both tell those that are near and one in each other data centre, which tells
 * the rest there.
 *
 * Load pattern: every target writes its entry about once a second, and a spell
 * moves keys several times a second. Were every instance to read each of these
 * changes itself, twelve instances would make 48 calls a second, most of what
 * they cost the store. What is passed on counts only if nothing was missed
 * before it; whoever has missed something, or hears nothing, reads itself.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { StoreRecord } from "@lentilspur/ports/store";
import type { GrantedRange } from "@lentilspur/ownership/key_keeper";
import {
  applyTablePatch,
  diffTables,
  type KeyTable,
  type OwnedRange,
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
  /** False where the message is too long for a datagram; nothing is sent then. */
  /** Tables up to `end` were missed, which the keeper has. */
  readonly fetchTable: (part: number, keeper: string, end: number) => void;
  readonly send: (to: readonly Member[], message: PeerMessage) => boolean;
}

/** A table that a keeper has just written. */
export interface WrittenTable {
  readonly part: number;
  readonly service: string;
  /** Of the record that holds it. */
  readonly offset: number;
  readonly before: KeyTable | undefined;
  readonly after: KeyTable;
}

export class ViewRelay {
  readonly #options: ViewRelayOptions;
  readonly #joiner = new FragmentAssembler();
  /** As a keeper: where each partition ended after its newest claim or table. */
  readonly #tableEnds = new Map<number, number>();

  constructor(options: ViewRelayOptions) {
    this.#options = options;
  }

  /** Passes on what a read of the targets' entries gave. */
  sendTargets(
    slice: RecordBatch,
    isNews: (record: StoreRecord) => boolean,
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
    // All records of an entry that has any news: an entry may go and come back.
    const news = new Set(slice.records.filter(isNews).map(({ key }) => key));
    const records = slice.records.filter(({ key }) => news.has(key));
    for (const part of splitBatch({ ...slice, records })) {
      const message: TargetsMessage = { kind: "targets", from, ...part };
      if (!this.#options.send(receivers, message)) {
        // Too much for a datagram: without a base, the others read themselves.
        const { end } = message;
        this.#options.send(receivers, { ...message, base: end, records: [] });
      }
    }
  }

  applyTargets(message: TargetsMessage): void {
    this.#forward(message);
    this.#options.getTargetsView().applyBatch(message);
  }

  /** Passes on a change of the configuration, where it fits into datagrams. */
  sendConfiguration({ base, end, records }: RecordBatch): void {
    const { duties, instance: from } = this.#options;
    if (records.length === 0 || !duties.isReader()) {
      return;
    }
    for (const piece of encodeValue({ base, records }) ?? []) {
      this.#sendToAll({ kind: "configuration", from, end, ...piece });
    }
  }

  applyConfiguration(message: ConfigurationMessage): void {
    this.#forward(message);
    const tail = this.#options.getConfigurationView();
    const { from, end } = message;
    if (end <= tail.end) {
      return;
    }
    const packed = this.#joiner.add(`configuration of ${from}`, end, message);
    const slice = packed === undefined
      ? undefined
      : toBatch(decodeValue(packed));
    if (slice !== undefined) {
      tail.applyBatch({ ...slice, end, ageMs: 0, sinceOutageMs: null });
    }
  }

  /** Tells every instance what this keeper has written, or to read it itself. */
  sendTable(written: WrittenTable): void {
    const { part, service, offset, before, after } = written;
    const since = this.#tableEnds.get(part) ?? offset;
    this.#tableEnds.set(part, offset + 1);
    const pieces = before === undefined
      ? undefined
      : encodeValue(diffTables(before, after));
    for (const piece of pieces ?? [EMPTY_FRAGMENT]) {
      this.#sendOwners({ part, offset, since, service, ...piece });
    }
  }

  /**
   * Tells every instance that a range has reached its new owner. A record says
   * so up to 1 s later; until then callers of its keys would wait. Only a hint: a
   * target that does not hold a key refuses it.
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

  /** Tells every instance that this one keeps a partition from now on. */
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
   * The keeper here has read its partition: a table up to this end may be one
   * that nobody was told of. Taken over onto the one before it, the difference
   * of the next would leave keys with wrong owners for good.
   */
  recordTableEnd(part: number, end: number): void {
    this.#tableEnds.set(part, end);
  }

  /**
   * Where a partition that is kept here ended after its newest claim or table:
   * up to there others have to know it. What else a keeper writes is for its
   * successors. Undefined where nothing was written here.
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

  /** What comes from another data centre is for everybody in this one. */
  #forward(message: PeerMessage): void {
    const { duties, send, findMember } = this.#options;
    const sender = findMember(message.from);
    if (sender !== undefined) {
      send(duties.listForwardReceivers(sender.dataCentre), message);
    }
  }

  /** Word of a claim alone says nothing of tables. */
  #handleMissed(
    { from, part, service, offset }: OwnersMessage,
    tail: PartitionView,
  ): void {
    if (service === "") {
      tail.scheduleRead();
    } else {
      this.#options.fetchTable(part, from, offset + 1);
    }
  }

  applyTable(message: OwnersMessage): void {
    this.#forward(message);
    const { directory, getOwnersView: getOwnersTail } = this.#options;
    const { part, service, offset, since } = message;
    const tail = getOwnersTail(part);
    if (tail === undefined || offset < tail.end) {
      return;
    }
    // Where a piece is lost, the next table shows that one was missed.
    const packed = this.#joiner.add(`${part}`, offset, message);
    if (packed === undefined) {
      return;
    }
    const patch = decodeValue(packed) as readonly OwnedRange[] | undefined;
    const before = directory.getTable(service);
    if (patch === undefined || before === undefined || tail.end < since) {
      this.#handleMissed(message, tail);
      return;
    }
    directory.setTable(service, applyTablePatch(before, patch), {
      offset,
      nowMs: this.#options.clock.readMs(),
    });
    tail.applyBatch({
      base: since,
      end: offset + 1,
      ageMs: 0,
      sinceOutageMs: null,
      records: [],
    });
  }
}

function toBatch(
  value: unknown,
): Pick<RecordBatch, "base" | "records"> | undefined {
  const { base, records } = (value ?? {}) as Partial<RecordBatch>;
  return Number.isInteger(base) && Array.isArray(records)
    ? { base: base!, records }
    : undefined;
}

/** Stands for what is to be read instead. */
const EMPTY_FRAGMENT: Fragment = { text: "", piece: 0, pieces: 1 };

/**
 * What was read, in pieces that fit into a datagram each; the next goes on where
 * the one before ends. A third of 180 targets leaving at once takes 20 of them,
 * where 200 instances that are told to read would all do so at that moment.
 */
function splitBatch(slice: RecordBatch): readonly RecordBatch[] {
  const pieces: RecordBatch[] = [];
  let { base } = slice;
  let records: StoreRecord[] = [];
  let size = 0;
  for (const record of slice.records) {
    const added = JSON.stringify(record).length;
    if (records.length > 0 && size + added > MAX_FRAGMENT_LENGTH) {
      const end = record.offset;
      pieces.push({ ...slice, base, end, records });
      base = end;
      records = [];
      size = 0;
    }
    records.push(record);
    size += added;
  }
  pieces.push({ ...slice, base, records });
  return pieces;
}
