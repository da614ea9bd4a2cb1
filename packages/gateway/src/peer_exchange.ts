/**
 * Sends and takes the datagrams by which instances tell each other how many of
 * their requests each target has, and that they are there.
 *
 * Both are hints. A lost datagram makes a choice worse for some milliseconds;
 * the counts of an instance that has fallen silent fade. Within a data centre
 * changes go out at once, since its targets are shared by the instances there;
 * across, a few times a second, since bytes there have a price.
 */
import { createSocket, type RemoteInfo, type Socket } from "node:dgram";
import type { Clock } from "@lentilspur/ports/clock";
import type { Member } from "./members.ts";
import {
  isPeerMessage,
  type LoadCounts,
  type PeerMessage,
  type PeerStanding,
} from "./peer_message.ts";

export interface PeerExchangeOptions {
  readonly clock: Clock;
  readonly host: string;
  readonly port: number;
  readonly instance: string;
  readonly dataCentre: string;
  readonly listOthers: () => readonly Member[];
  readonly readCounts: () => LoadCounts;
  readonly describeStanding: () => PeerStanding;
  /** Whether this instance is to say often that it is there. */
  readonly isSpeaker: () => boolean;
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
/**
 * An instance that does work for others says at least this often that it is
 * there: where there are 200, loads go out every 3 s only.
 */
const ALIVE_EVERY_MS = 500;
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
  #alive = { text: "", atMs: -Infinity };

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
      this.#sendAlive();
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
    const standing = this.#options.describeStanding();
    const text = JSON.stringify({ kind: "load", from, ...standing, counts });
    const repeatMs = computeGapMs(REPEAT, others.length);
    const toNear = isDue(this.#near, { text, gapMs: nearMs, repeatMs, nowMs });
    const toFar = isDue(this.#far, { text, gapMs: farMs, repeatMs, nowMs });
    if (!toNear && !toFar) {
      return;
    }
    const data = Buffer.from(text);
    for (const member of others) {
      const isNear = member.dataCentre === dataCentre;
      if (isNear ? toNear : toFar) {
        this.#sendData(member, data);
      }
    }
    this.#near = toNear ? { text, atMs: nowMs } : this.#near;
    this.#far = toFar ? { text, atMs: nowMs } : this.#far;
  }

  /** What is news goes out at once: a new configuration, a store that is away. */
  #sendAlive(): void {
    const { clock, instance: from, describeStanding, listOthers, isSpeaker } =
      this.#options;
    if (!isSpeaker()) {
      return;
    }
    const nowMs = clock.readMs();
    const text = JSON.stringify({ kind: "alive", from, ...describeStanding() });
    const saidAtMs = Math.max(
      this.#alive.atMs,
      Math.min(this.#near.atMs, this.#far.atMs),
    );
    if (text === this.#alive.text && nowMs - saidAtMs < ALIVE_EVERY_MS) {
      return;
    }
    this.#alive = { text, atMs: nowMs };
    const data = Buffer.from(text);
    for (const member of listOthers()) {
      this.#sendData(member, data);
    }
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
