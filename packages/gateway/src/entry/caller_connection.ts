/**
 * A caller's connection with its unanswered requests. It listens to the socket
 * once for all of them, reads no further while too many are held, and knows
 * whether its caller is late.
 */
import type { Socket } from "node:net";
import type { Clock } from "@lentilspur/ports/clock";
import { CALLER_DISCONNECTED } from "./abort_reasons.ts";
import { checkLateness } from "./caller_lateness.ts";
import {
  type ConnectionRequest,
  ConnectionRequests,
} from "./connection_requests.ts";

/** A caller that does not end its side loses its connection after this. */
const CLOSE_TIMEOUT_MS = 2_000;

export interface CallerConnectionOptions {
  readonly clock: Clock;
  /** How long this process has been stalled since its start. */
  readonly readTotalStallMs: () => number;
}

/** What a caller sends too slowly. */
export type LatePart = "head" | "body";

export class CallerConnection {
  readonly requests = new ConnectionRequests();
  readonly #socket: Socket;
  readonly #options: CallerConnectionOptions;
  /** When reading was paused; undefined while the connection is read. */
  #pausedAtMs: number | undefined;
  #pausedMs = 0;
  /** `#readUnreadMs()` before the head of the last request was read. */
  #unreadBeforeLastMs: number;
  /** The same, after it was read or, before the first one, at the opening. */
  #unreadSinceLastMs: number;

  constructor(socket: Socket, options: CallerConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#unreadSinceLastMs = options.readTotalStallMs();
    this.#unreadBeforeLastMs = this.#unreadSinceLastMs;
    // The HTTP server calls it after the last response.
    socket.destroySoon = () => this.#closeInOrder();
    socket.once("end", () => this.requests.leave(CALLER_DISCONNECTED));
    socket.once("close", () => this.requests.leave(CALLER_DISCONNECTED));
  }

  add(request: ConnectionRequest): void {
    this.requests.add(request);
    this.#unreadBeforeLastMs = this.#unreadSinceLastMs;
    this.#unreadSinceLastMs = this.#readUnreadMs();
    if (this.requests.isFull) {
      // Node resumes the socket once it has read the request.
      setImmediate(() => this.#updateReading());
    }
  }

  /** Removes a request whose response has been written. */
  remove(request: ConnectionRequest): void {
    this.requests.remove(request);
    this.#updateReading();
  }

  /**
   * Call it when the time of the head or body that is being read is over.
   * Resolves to the part that is late, or to undefined if it has come. The body
   * of a head that has come only now has `bodyTimeoutMs`.
   */
  async findLatePart(bodyTimeoutMs: number): Promise<LatePart | undefined> {
    if (this.requests.isSealed) {
      return undefined;
    }
    let body = this.requests.findUnread();
    let unreadBeforeMs = this.#unreadBeforeLastMs;
    if (body === undefined) {
      const { accepted } = this.requests;
      const isHeadPending = () => this.requests.accepted === accepted;
      if (await this.#checkLateness(isHeadPending, this.#unreadSinceLastMs)) {
        return "head";
      }
      body = this.requests.findUnread();
      if (body === undefined) {
        return undefined;
      }
      unreadBeforeMs = this.#unreadSinceLastMs;
      await this.#options.clock.sleep(bodyTimeoutMs);
    }
    const isBodyPending = () => this.requests.has(body) && !body.isRead();
    return await this.#checkLateness(isBodyPending, unreadBeforeMs)
      ? "body"
      : undefined;
  }

  /** Resolves to whether the caller sends nothing on an idle connection. */
  checkIdle(): Promise<boolean> {
    const { bytesRead } = this.#socket;
    return this.#checkLateness(
      () => this.requests.isIdle && this.#socket.bytesRead === bytesRead,
      this.#unreadSinceLastMs,
    );
  }

  #checkLateness(
    isPending: () => boolean,
    unreadBeforeMs: number,
  ): Promise<boolean> {
    return checkLateness({
      clock: this.#options.clock,
      readUnreadMs: () => this.#readUnreadMs(),
      unreadBeforeMs,
      isPending: () => !this.#socket.destroyed && isPending(),
    });
  }

  /** How long this connection has not been read since its opening. */
  #readUnreadMs(): number {
    const { clock, readTotalStallMs } = this.#options;
    const pausedMs = this.#pausedAtMs === undefined
      ? 0
      : clock.readMs() - this.#pausedAtMs;
    return readTotalStallMs() + this.#pausedMs + pausedMs;
  }

  /**
   * Ends the connection, and reads on until the caller has ended it too. A
   * socket that is closed with unread bytes is reset, which would drop what the
   * operating system has not sent yet of the responses.
   */
  #closeInOrder(): void {
    const socket = this.#socket;
    socket.end(() => {
      const timer = setTimeout(() => socket.destroy(), CLOSE_TIMEOUT_MS);
      socket.once("close", () => clearTimeout(timer));
    });
  }

  #updateReading(): void {
    const nowMs = this.#options.clock.readMs();
    if (this.requests.isFull) {
      this.#pausedAtMs ??= nowMs;
      this.#socket.pause();
    } else if (this.#pausedAtMs !== undefined) {
      this.#pausedMs += nowMs - this.#pausedAtMs;
      this.#pausedAtMs = undefined;
      this.#socket.resume();
    }
  }
}
