/**
 * Sends and receives datagrams, and sends heartbeats if this instance does work
 * for its peers.
 */
import { createSocket, type RemoteInfo, type Socket } from "node:dgram";
import type { Clock } from "@lentilspur/ports/clock";
import { sleepUntilTick } from "@lentilspur/ports/tick";
import { MAX_QUOTED_LENGTH } from "@lentilspur/outcomes/json_boundary";
import type { Fault } from "../fault.ts";
import type { Member } from "../members/members.ts";
import type { PeerMessage, PeerStatus } from "./peer_message.ts";
import { decodePeerMessage } from "./peer_message_check.ts";

export interface PeerTransportOptions {
  readonly clock: Clock;
  readonly host: string;
  readonly port: number;
  readonly instance: string;
  /** Instances that get the heartbeats of this one. */
  readonly listHeartbeatReceivers: () => readonly Member[];
  readonly describeStatus: () => PeerStatus;
  /** Whether this instance sends heartbeats. */
  readonly isHeartbeatSender: () => boolean;
  readonly handle: (message: PeerMessage) => void;
  /** Reports an invalid datagram or a failure of the socket. */
  readonly reportFault: (fault: Fault) => void;
}

/**
 * Maximum time between two heartbeats of an instance that does work for its
 * peers. The load messages do not replace heartbeats: with many instances, most
 * of them go to the aggregator only.
 */
const HEARTBEAT_INTERVAL_MS = 500;
/** Time between two checks for a change of the status. */
const TICK_MS = 40;
/**
 * The same at an instance without heartbeats; each wake-up costs about 0.1 ms.
 */
const IDLE_TICK_MS = 250;
/**
 * A longer datagram may be fragmented by the network, and is lost if any part
 * is.
 */
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

  /** The bound port, which the system chooses if the `port` option is 0. */
  get port(): number {
    return this.#socket.address().port;
  }

  /** Rejects if the port cannot be bound. */
  open(): Promise<void> {
    const { host, port } = this.#options;
    return new Promise((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(port, host, () => {
        this.#socket.off("error", reject);
        resolve();
      });
    });
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
   * Sends a message to some instances, without confirmation of its arrival.
   * Returns false, without sending, if it is too long for a datagram or if the
   * socket is closed.
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

  /**
   * Sends a heartbeat when it is due, or at once after a change of the status,
   * such as a new configuration or a lost store.
   */
  #sendHeartbeat(): void {
    const {
      clock,
      instance: from,
      describeStatus,
      isHeartbeatSender,
    } = this.#options;
    if (!isHeartbeatSender()) {
      return;
    }
    const nowMs = clock.readMs();
    const message = { kind: "alive", from, ...describeStatus() } as const;
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
    const decoded = decodePeerMessage(data);
    if (decoded.ok) {
      this.#handleMessage(decoded.val, sender);
    } else {
      this.#options.reportFault({
        record: "datagram",
        key: sender.address,
        why: decoded.val,
      });
    }
  }

  /** A fault of a handler must not end the requests of this process. */
  #handleMessage(message: PeerMessage, sender: RemoteInfo): void {
    try {
      this.#options.handle(message);
    } catch (error) {
      const reason = String(error).slice(0, MAX_QUOTED_LENGTH);
      this.#options.reportFault(
        `The "${message.kind}" message of ${sender.address} was not handled: ${reason}`,
      );
    }
  }
}
