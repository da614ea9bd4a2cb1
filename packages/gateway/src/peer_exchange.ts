/**
 * What instances tell each other in datagrams: how many of their requests each
 * target has, and which keys they were asked for.
 *
 * Both are hints. A lost datagram makes a choice worse for some milliseconds;
 * the counts of an instance that has fallen silent fade. Within a data centre
 * changes go out at once, since its targets are shared by the instances there;
 * across, a few times a second, since bytes there have a price.
 */
import { createSocket, type RemoteInfo, type Socket } from "node:dgram";
import type { Clock } from "@lentilspur/ports/clock";
import type { OwnDemand } from "@lentilspur/routing/account_limiter";
import type { KeeperMessage } from "./keeper_peers.ts";
import type { Member } from "./members.ts";
import type { TailSlice } from "./partition_tail.ts";

/** Numbers by target; absent means none. */
export type TargetCounts = Readonly<Record<string, number>>;

/** What one instance has at each target, and has waiting. */
export interface LoadCounts {
  /** Requests that each target has from it. */
  readonly running: TargetCounts;
  /** Requests that wait, by service, the target that they wait for, and rank. */
  readonly waiting: Readonly<
    Record<string, Readonly<Record<string, readonly number[]>>>
  >;
}

/** First and last key, and the token under which they were granted. */
export type GrantedKeys = readonly [from: number, to: number, token: number];

export type PeerMessage =
  | KeeperMessage
  | {
    readonly kind: "load";
    readonly from: string;
    /** Of the configuration in force there. */
    readonly version: number;
    readonly counts: LoadCounts;
  }
  | {
    readonly kind: "keys";
    readonly from: string;
    readonly service: string;
    readonly keys: readonly number[];
    /** Work of one request at each target, in milliseconds, as measured. */
    readonly serviceMs: Readonly<Record<string, number>>;
  }
  | ({
    /** What a read of the targets' entries gave. */
    readonly kind: "targets";
    readonly from: string;
  } & TailSlice)
  | {
    /** A table of owners that a keeper has written. */
    readonly kind: "owners";
    readonly from: string;
    readonly part: number;
    readonly offset: number;
    readonly service: string;
    /**
     * What differs from the table before, packed, or a piece of that; `null`: it
     * has to be read.
     */
    readonly ranges: string | null;
    /** Which piece it is, of how many. */
    readonly piece: number;
    readonly pieces: number;
  }
  | {
    /** Ranges that have reached their new owners; a record says so later. */
    readonly kind: "granted";
    readonly from: string;
    readonly service: string;
    readonly ranges: readonly GrantedKeys[];
  }
  | {
    readonly kind: "demand";
    readonly from: string;
    /** What it sees of client accounts, the busiest of them. */
    readonly demands: readonly OwnDemand[];
  };

export interface PeerExchangeOptions {
  readonly clock: Clock;
  readonly host: string;
  readonly port: number;
  readonly instance: string;
  readonly dataCentre: string;
  readonly listOthers: () => readonly Member[];
  readonly readCounts: () => LoadCounts;
  /** Version of the configuration in force; 0 where there is none. */
  readonly getVersion: () => number;
  readonly handle: (message: PeerMessage) => void;
  /** A message that is none of the above, or a socket's failure. */
  readonly reportFault: (message: string) => void;
}

/**
 * How often counts go out: changes of this long together. The more instances
 * there are, the seldomer, since each tells each: with 59 of them every 40 ms
 * and 250 ms, an instance sent and read 550 datagrams a second, which was half
 * of its processor time; and the share that one of so many has at a target is
 * small. With a dozen instances the least times hold.
 */
interface Pace {
  readonly leastMs: number;
  readonly perInstanceMs: number;
}
/** In the data centre; requests take 40 ms and more. */
const NEAR: Pace = { leastMs: 40, perInstanceMs: 12 };
/** Bytes across have a price; requests there take about this long in all. */
const FAR: Pace = { leastMs: 250, perInstanceMs: 22 };
/** Without a change, often enough for a receiver to take counts for current. */
const REPEAT: Pace = { leastMs: 400, perInstanceMs: 16 };
/** Between two looks. */
const TICK_MS = 40;
/** A datagram above this may be cut into parts and lost as a whole. */
const MAX_BYTES = 1_400;

export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  readonly #socket: Socket;
  #isClosed = false;
  #near = { text: "", atMs: -Infinity };
  #far = { text: "", atMs: -Infinity };

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    this.#socket = createSocket("udp4");
    this.#socket.on(
      "message",
      (data, sender) => this.#handleDatagram(data, sender),
    );
    this.#socket.on("error", (error) => options.reportFault(error.message));
  }

  /** The port it listens on, which was picked if none was named. */
  get port(): number {
    return this.#socket.address().port;
  }

  open(): Promise<void> {
    const { host, port } = this.#options;
    return new Promise((resolve) => this.#socket.bind(port, host, resolve));
  }

  close(): void {
    this.#isClosed = true;
    this.#socket.close();
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#sendLoads();
      await this.#options.clock.sleep(TICK_MS, signal);
    }
  }

  /**
   * Sends to one instance; nothing tells whether it arrives. False where the
   * message is too long for a datagram.
   */
  send(to: Member, message: PeerMessage): boolean {
    return this.#sendData(to, Buffer.from(JSON.stringify(message)));
  }

  #sendLoads(): void {
    const { clock, instance: from, dataCentre, listOthers, readCounts } =
      this.#options;
    const nowMs = clock.readMs();
    const others = listOthers();
    const near = others.filter((member) => member.dataCentre === dataCentre);
    const nearMs = computeGapMs(NEAR, near.length);
    const farMs = computeGapMs(FAR, others.length - near.length);
    if (nowMs - this.#near.atMs < nearMs && nowMs - this.#far.atMs < farMs) {
      return;
    }
    const counts = readCounts();
    const version = this.#options.getVersion();
    const text = JSON.stringify({ kind: "load", from, version, counts });
    const repeatMs = computeGapMs(REPEAT, others.length);
    const toNear = isDue(this.#near, { text, gapMs: nearMs, repeatMs, nowMs });
    const toFar = isDue(this.#far, { text, gapMs: farMs, repeatMs, nowMs });
    if (!toNear && !toFar) {
      return;
    }
    for (const member of others) {
      const isNear = member.dataCentre === dataCentre;
      if (isNear ? toNear : toFar) {
        this.#sendData(member, Buffer.from(text));
      }
    }
    this.#near = toNear ? { text, atMs: nowMs } : this.#near;
    this.#far = toFar ? { text, atMs: nowMs } : this.#far;
  }

  #sendData(to: Member, data: Buffer): boolean {
    if (data.byteLength > MAX_BYTES || this.#isClosed) {
      return false;
    }
    this.#socket.send(data, to.port, to.host, (error) => {
      if (error !== null) {
        this.#options.reportFault(error.message);
      }
    });
    return true;
  }

  #handleDatagram(data: Buffer, sender: RemoteInfo): void {
    try {
      const message = JSON.parse(data.toString("utf8")) as PeerMessage;
      if (isPeerMessage(message)) {
        this.#options.handle(message);
        return;
      }
    } catch {
      // Falls through to the report: neither JSON nor one of the messages.
    }
    this.#options.reportFault(`Unreadable datagram from ${sender.address}`);
  }
}

function computeGapMs({ leastMs, perInstanceMs }: Pace, count: number): number {
  return Math.max(leastMs, perInstanceMs * count);
}

function isDue(
  last: { readonly text: string; readonly atMs: number },
  now: {
    readonly text: string;
    readonly gapMs: number;
    readonly repeatMs: number;
    readonly nowMs: number;
  },
): boolean {
  const ageMs = now.nowMs - last.atMs;
  return ageMs >= now.repeatMs ||
    (ageMs >= now.gapMs && now.text !== last.text);
}

function isPeerMessage(message: PeerMessage | null): message is PeerMessage {
  if (message === null || typeof message.from !== "string") {
    return false;
  }
  switch (message.kind) {
    case "load":
      return typeof message.counts?.running === "object" &&
        typeof message.counts.waiting === "object";
    case "keys":
      return Array.isArray(message.keys) &&
        typeof message.service === "string" &&
        typeof message.serviceMs === "object" && message.serviceMs !== null;
    case "targets":
      return Number.isInteger(message.base) && Number.isInteger(message.end) &&
        Number.isFinite(message.ageMs) && Array.isArray(message.records);
    case "owners":
      return Number.isInteger(message.part) &&
        Number.isInteger(message.offset) &&
        typeof message.service === "string" &&
        Number.isInteger(message.piece) && Number.isInteger(message.pieces) &&
        (message.ranges === null || typeof message.ranges === "string");
    case "granted":
      return typeof message.service === "string" &&
        Array.isArray(message.ranges);
    case "demand":
      return Array.isArray(message.demands);
    case "pledge-request":
      return Number.isInteger(message.part) && Number.isInteger(message.term) &&
        Number.isInteger(message.number);
    case "pledge":
      return Number.isInteger(message.part) &&
        Number.isInteger(message.number) &&
        typeof message.isGiven === "boolean";
    case "keeper-replaced":
      return Number.isInteger(message.part) && Number.isInteger(message.term);
    case "keeper-stopped":
      return Number.isInteger(message.part) &&
        typeof message.incarnation === "string" &&
        typeof message.isClean === "boolean";
    default:
      return false;
  }
}
