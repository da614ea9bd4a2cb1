/**
 * Spares the store most reads: one instance follows the targets' entries for
 * all, and the keeper of a partition of owners passes on what it has written.
 * Both tell those that are near and one in each other data centre, which tells
 * the rest there.
 *
 * Load pattern: every target writes its entry about once a second, and a spell
 * moves keys several times a second. Were every instance to read each of these
 * changes itself, twelve instances would make 48 calls a second, most of what
 * they cost the store. What is passed on counts only if nothing was missed
 * before it; whoever has missed something, or hears nothing, reads itself.
 */
import type { StoreRecord } from "@lentilspur/ports/store";
import type { GrantedRange } from "@lentilspur/ownership/key_keeper";
import { formatTableKey } from "@lentilspur/ownership/keeper_records";
import {
  applyTablePatch,
  diffTables,
  type KeyTable,
  type OwnedRange,
  serializeTable,
} from "@lentilspur/ownership/key_table";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { Duties } from "./duties.ts";
import type { KeyDirectory } from "./key_directory.ts";
import type { Member } from "./members.ts";
import type { PartitionTail, TailSlice } from "./partition_tail.ts";
import type { PeerMessage } from "./peer_message.ts";

type TargetsMessage = PeerMessage & { readonly kind: "targets" };
type OwnersMessage = PeerMessage & { readonly kind: "owners" };

export interface ViewRelayOptions {
  readonly instance: string;
  readonly dataCentre: string;
  readonly directory: KeyDirectory;
  readonly duties: Duties;
  readonly findMember: (instance: string) => Member | undefined;
  readonly getTargetsTail: () => PartitionTail;
  readonly getOwnersTail: (part: number) => PartitionTail | undefined;
  /** False where the message is too long for a datagram; nothing is sent then. */
  readonly send: (member: Member, message: PeerMessage) => boolean;
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

/** Pieces of one table's difference that have come so far. */
interface GatheredPieces {
  readonly offset: number;
  readonly texts: Map<number, string>;
}

export class ViewRelay {
  readonly #options: ViewRelayOptions;
  /** By partition. */
  readonly #pieces = new Map<number, GatheredPieces>();

  constructor(options: ViewRelayOptions) {
    this.#options = options;
  }

  /** Passes on what a read of the targets' entries gave. */
  sendTargets(
    slice: TailSlice,
    isNews: (record: StoreRecord) => boolean,
  ): void {
    const { duties, instance: from } = this.#options;
    const receivers = duties.isReader()
      ? duties.listRelays()
      : duties.isLocalReader()
      ? duties.listNear()
      : [];
    if (receivers.length === 0) {
      return;
    }
    // All records of an entry that has any news: an entry may go and come back.
    const news = new Set(slice.records.filter(isNews).map(({ key }) => key));
    const records = slice.records.filter(({ key }) => news.has(key));
    for (const part of splitSlice({ ...slice, records })) {
      const message: TargetsMessage = { kind: "targets", from, ...part };
      for (const member of receivers) {
        if (!this.#options.send(member, message)) {
          // Too much for a datagram: without a base, the others read themselves.
          const { end } = message;
          this.#options.send(member, { ...message, base: end, records: [] });
        }
      }
    }
  }

  applyTargets(message: TargetsMessage): void {
    this.#forward(message);
    this.#options.getTargetsTail().applySlice(message);
  }

  /** Tells every instance what this keeper has written, or to read it itself. */
  sendTable(written: WrittenTable): void {
    const { part, service, offset, before, after } = written;
    const texts = before === undefined
      ? [null]
      : splitText(encodeRanges(diffTables(before, after))) ?? [null];
    for (const [piece, ranges] of texts.entries()) {
      const pieces = texts.length;
      this.#sendOwners({ part, offset, service, ranges, piece, pieces });
    }
  }

  /**
   * Tells every instance that a range has reached its new owner. A record says
   * so 0.3 s later; until then callers of its keys would wait. Only a hint: a
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
    const whole = { piece: 0, pieces: 1 };
    this.#sendOwners({ part, offset, service: "", ranges: null, ...whole });
  }

  #sendOwners(fields: Omit<OwnersMessage, "kind" | "from">): void {
    const { instance: from } = this.#options;
    this.#sendToAll({ kind: "owners", from, ...fields });
  }

  #sendToAll(message: PeerMessage): void {
    const { duties, send } = this.#options;
    for (const member of duties.listRelays()) {
      send(member, message);
    }
  }

  /** What comes from another data centre is for everybody in this one. */
  #forward(message: PeerMessage): void {
    const { duties, send, findMember, dataCentre } = this.#options;
    const sender = findMember(message.from);
    if (
      sender === undefined || sender.dataCentre === dataCentre ||
      !duties.isLocalReader()
    ) {
      return;
    }
    for (const member of duties.listNear()) {
      send(member, message);
    }
  }

  applyTable(message: OwnersMessage): void {
    this.#forward(message);
    const { directory, getOwnersTail } = this.#options;
    const { part, service, offset } = message;
    const tail = getOwnersTail(part);
    if (tail === undefined || offset < tail.end) {
      return;
    }
    const packed = this.#joinPieces(message);
    if (packed === undefined) {
      return;
    }
    const patch = packed === null ? undefined : decodeRanges(packed);
    const before = directory.getTable(service);
    if (patch === undefined || before === undefined || offset !== tail.end) {
      tail.scheduleRead();
      return;
    }
    const value = serializeTable(applyTablePatch(before, patch));
    const key = formatTableKey(service);
    tail.applySlice({
      base: offset,
      end: offset + 1,
      ageMs: 0,
      sinceOutageMs: null,
      records: [{ offset, key, value }],
    });
  }

  /**
   * The whole of what came in pieces; undefined until all are there. Where one
   * is lost, the next table shows that one was missed, and the store is read.
   */
  #joinPieces(message: OwnersMessage): string | null | undefined {
    const { part, offset, ranges, piece, pieces } = message;
    if (ranges === null || pieces === 1) {
      return ranges;
    }
    const known = this.#pieces.get(part);
    const gathered = known?.offset === offset
      ? known
      : { offset, texts: new Map<number, string>() };
    this.#pieces.set(part, gathered);
    gathered.texts.set(piece, ranges);
    if (gathered.texts.size < pieces) {
      return undefined;
    }
    this.#pieces.delete(part);
    return [...gathered.texts]
      .sort(([left], [right]) => left - right)
      .map(([, text]) => text)
      .join("");
  }
}

/**
 * Ids and addresses come again and again: ten moves are 3 KB as they are and
 * would not fit into a datagram, and 1 KB packed.
 */
function encodeRanges(ranges: readonly OwnedRange[]): string {
  return deflateRawSync(JSON.stringify(ranges)).toString("base64");
}

/**
 * What fits into a datagram each. With 150 targets a plan's moves take three to
 * six; told to read instead, 58 instances read the table at once, several times
 * a second: nine tenths of 156 calls a second.
 */
function splitText(text: string): readonly string[] | undefined {
  const pieces: string[] = [];
  for (let start = 0; start < text.length; start += MAX_PIECE) {
    pieces.push(text.slice(start, start + MAX_PIECE));
  }
  return pieces.length > MAX_PIECES ? undefined : pieces;
}

/** Characters; what surrounds them takes some 150 bytes of a datagram. */
const MAX_PIECE = 1_100;
/** Beyond this many, one of them is lost too often. */
const MAX_PIECES = 12;

/**
 * What was read, in pieces that fit into a datagram each; the next goes on where
 * the one before ends. A third of 180 targets leaving at once takes 20 of them,
 * where 200 instances that are told to read would all do so at that moment.
 */
function splitSlice(slice: TailSlice): readonly TailSlice[] {
  const pieces: TailSlice[] = [];
  let { base } = slice;
  let records: StoreRecord[] = [];
  let size = 0;
  for (const record of slice.records) {
    const added = JSON.stringify(record).length;
    if (records.length > 0 && size + added > MAX_PIECE) {
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

/** Undefined where the text is none; the table is read instead. */
function decodeRanges(text: string): readonly OwnedRange[] | undefined {
  try {
    const packed = Buffer.from(text, "base64");
    const unpacked = inflateRawSync(packed, { maxOutputLength: MAX_UNPACKED });
    return JSON.parse(unpacked.toString("utf8")) as readonly OwnedRange[];
  } catch {
    // Cut or foreign bytes: the sender is asked for nothing, the store is read.
    return undefined;
  }
}

/** Far above any table that fits packed into a datagram. */
const MAX_UNPACKED = 256 * 1024;
