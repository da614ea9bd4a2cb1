/**
 * Sends and takes the datagrams of this instance, and says of those that do work
 * for others that they are there.
 */
import { createSocket, type RemoteInfo, type Socket } from "node:dgram";
import type { Clock } from "@lentilspur/ports/clock";
import { sleepUntilTick } from "@lentilspur/ports/tick";
import type { Member } from "../members/members.ts";
import type { PeerMessage, PeerStatus } from "./peer_message.ts";
import { isPeerMessage } from "./peer_message_check.ts";

export interface PeerTransportOptions {
  readonly clock: Clock;
  readonly host: string;
  readonly port: number;
  readonly instance: string;
  /** Whom to tell often that this instance is there. */
  readonly listHeartbeatReceivers: () => readonly Member[];
  readonly describeStatus: () => PeerStatus;
  /** Whether this instance is to say often that it is there. */
  readonly isHeartbeatSender: () => boolean;
  readonly handle: (message: PeerMessage) => void;
  /** A message that is none of the above, or a socket's failure. */
  readonly reportFault: (message: string) => void;
}

/**
 * An instance that does work for others says at least this often that it is
 * there: where there are many, most loads go to one instance only.
 */
const HEARTBEAT_INTERVAL_MS = 500;
/** Between two looks at whether there is news to say. */
const TICK_MS = 40;
/** The same where nothing is to be said; each wake-up costs about 0.1 ms. */
const IDLE_TICK_MS = 250;
/** A datagram above this may be cut into parts and lost as a whole. */
const MAX_DATAGRAM_BYTES = 1_400;

export class PeerTransport {
  readonly #options: PeerTransportOptions;
  readonly #socket: Socket;
  #isClosed = false;
  #lastHeartbeat = { text: "", atMs: -Infinity };

  constructor(options: PeerTransportOptions) {
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
      this.#sendHeartbeat();
      const tickMs = this.#options.isHeartbeatSender() ? TICK_MS : IDLE_TICK_MS;
      await sleepUntilTick(this.#options.clock, tickMs, signal);
    }
  }

  /**
   * Sends to some instances; nothing tells whether it arrives. False where the
   * message is too long for a datagram; nothing is sent then.
   */
  send(to: readonly Member[], message: PeerMessage): boolean {
    return to.length === 0 || this.#sendText(to, JSON.stringify(message));
  }

  #sendText(to: readonly Member[], text: string): boolean {
    const data = Buffer.from(text);
    if (data.byteLength > MAX_DATAGRAM_BYTES || this.#isClosed) {
      return false;
    }
    for (const member of to) {
      this.#sendData(member, data);
    }
    return true;
  }

  /** What is news goes out at once: a new configuration, a store that is away. */
  #sendHeartbeat(): void {
    const {
      clock,
      instance: from,
      describeStatus: describeStanding,
      isHeartbeatSender: isSpeaker,
    } = this.#options;
    if (!isSpeaker()) {
      return;
    }
    const nowMs = clock.readMs();
    const message = { kind: "alive", from, ...describeStanding() } as const;
    const text = JSON.stringify(message);
    if (
      text !== this.#lastHeartbeat.text ||
      nowMs - this.#lastHeartbeat.atMs >= HEARTBEAT_INTERVAL_MS
    ) {
      this.#lastHeartbeat = { text, atMs: nowMs };
      this.#sendText(this.#options.listHeartbeatReceivers(), text);
    }
  }

  #sendData(to: Member, data: Buffer): void {
    this.#socket.send(data, to.port, to.host, (error) => {
      if (error !== null) {
        this.#options.reportFault(error.message);
      }
    });
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
