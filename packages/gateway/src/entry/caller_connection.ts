/**
 * A caller's connection with its unanswered requests. It listens to the socket
 * once for all of them, and reads no further while too many are held.
 */
import type { Socket } from "node:net";
import { CALLER_DISCONNECTED } from "./abort_reasons.ts";
import {
  type ConnectionRequest,
  ConnectionRequests,
} from "./connection_requests.ts";

/** A caller that does not end its side loses its connection after this. */
const CLOSE_TIMEOUT_MS = 2_000;

export class CallerConnection {
  readonly requests = new ConnectionRequests();
  readonly #socket: Socket;
  #isPaused = false;

  constructor(socket: Socket) {
    this.#socket = socket;
    // The HTTP server calls it after the last response.
    socket.destroySoon = () => this.#closeInOrder();
    socket.once("end", () => this.requests.leave(CALLER_DISCONNECTED));
    socket.once("close", () => this.requests.leave(CALLER_DISCONNECTED));
  }

  add(request: ConnectionRequest): void {
    this.requests.add(request);
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
    if (this.requests.isFull) {
      this.#isPaused = true;
      this.#socket.pause();
    } else if (this.#isPaused) {
      this.#isPaused = false;
      this.#socket.resume();
    }
  }
}
