/**
 * Spares the store most reads: one instance in each data centre follows the
 * targets' entries and passes changes on, and the keeper of a partition of
 * owners passes on what it has written.
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
import { formatTableKey } from "@lentilspur/ownership/keeper_records";
import {
  applyTablePatch,
  diffTables,
  type KeyTable,
  type OwnedRange,
  serializeTable,
} from "@lentilspur/ownership/key_table";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { KeyDirectory } from "./key_directory.ts";
import type { Member } from "./members.ts";
import type { PartitionTail, TailSlice } from "./partition_tail.ts";
import type { PeerMessage } from "./peer_exchange.ts";

type TargetsMessage = PeerMessage & { readonly kind: "targets" };
type OwnersMessage = PeerMessage & { readonly kind: "owners" };

export interface ViewRelayOptions {
  readonly clock: Clock;
  readonly instance: string;
  readonly dataCentre: string;
  readonly directory: KeyDirectory;
  readonly listOthers: () => readonly Member[];
  readonly isHeard: (instance: string) => boolean;
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

  /**
   * Whether this instance reads the targets' entries for its data centre: the
   * first by name of those that are heard of. Two that each hear nothing of the
   * other both read, which costs calls and harms nobody.
   */
  isReader(): boolean {
    const { instance, isHeard } = this.#options;
    return !this.#listNear()
      .some((member) => member.instance < instance && isHeard(member.instance));
  }

  /** Passes on what a read of the targets' entries gave. */
  sendTargets(
    slice: TailSlice,
    isNews: (record: StoreRecord) => boolean,
  ): void {
    if (!this.isReader()) {
      return;
    }
    const { instance: from } = this.#options;
    // All records of an entry that has any news: an entry may go and come back.
    const news = new Set(slice.records.filter(isNews).map(({ key }) => key));
    const message: TargetsMessage = {
      kind: "targets",
      from,
      base: slice.base,
      end: slice.end,
      ageMs: slice.ageMs,
      sinceOutageMs: slice.sinceOutageMs,
      records: slice.records.filter(({ key }) => news.has(key)),
    };
    for (const member of this.#listNear()) {
      if (!this.#options.send(member, message)) {
        // Too much for a datagram: without a base, the others read themselves.
        this.#options
          .send(member, { ...message, base: message.end, records: [] });
      }
    }
  }

  applyTargets(message: TargetsMessage): void {
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
    const { listOthers, send } = this.#options;
    for (const member of listOthers()) {
      send(member, message);
    }
  }

  applyTable(message: OwnersMessage): void {
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

  #listNear(): readonly Member[] {
    const { listOthers, dataCentre } = this.#options;
    return listOthers().filter((member) => member.dataCentre === dataCentre);
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
