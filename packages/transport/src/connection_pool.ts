/**
 * Pools the connections to one address. A connection that has been idle for too
 * long is not reused, since its path to the peer may have failed unnoticed.
 */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import type { StreamBreak } from "@lentilspur/ports/response_stream";
import {
  HttpConnection,
  openConnection,
  type OpenFailure,
} from "./http_connection.ts";
import type {
  HttpRequest,
  HttpResponse,
  SendFailure,
  SendFailureCause,
} from "./http_exchange.ts";

export interface PoolOptions {
  readonly clock: Clock;
  /** Limit of connections that are open or being opened at the same time. */
  readonly maxConnections: number;
  /** Longest wait for a connection to open. */
  readonly connectTimeoutMs: number;
  /**
   * An idle connection whose last response is older than this is not reused.
   */
  readonly maxIdleMs: number;
  /** Local address to connect from; chosen by the system if it is missing. */
  readonly sourceAddress?: string;
}

export type PoolFailure =
  | ({ readonly stage: "opening" } & OpenFailure)
  | ({ readonly stage: "sending" } & SendFailure);

export class ConnectionPool {
  readonly #address: string;
  readonly #options: PoolOptions;
  readonly #idle: HttpConnection[] = [];
  /** Connections that are open or being opened. */
  #connections = 0;
  #established = 0;
  #lastResponseAtMs = -Infinity;
  #mayHaveRestarted = false;
  #closed = false;

  constructor(address: string, options: PoolOptions) {
    this.#address = address;
    this.#options = options;
  }

  /**
   * Whether it is certain that one process has been at the address since the
   * first connection. This takes three conditions:
   *
   * - at least one connection was open at all times;
   * - no connection ended unexpectedly or brought a malformed response;
   * - during each abandoned request (timed out, cancelled, or with too large a
   *   response), a response arrived on another connection.
   */
  get isSameProcess(): boolean {
    return !this.#mayHaveRestarted &&
      this.#idle.every((connection) => connection.isOpen);
  }

  /** Whether a request can be sent without opening a connection. */
  get hasIdle(): boolean {
    const oldestAtMs = this.#options.clock.readMs() - this.#options.maxIdleMs;
    return this.#idle.some((connection) =>
      connection.isOpen && connection.lastResponseAtMs >= oldestAtMs
    );
  }

  /** Sends a request on an idle connection or on a new one, and never twice. */
  async send(request: HttpRequest): Promise<Result<HttpResponse, PoolFailure>> {
    const idle = request.needsNewConnection === true
      ? undefined
      : this.#takeIdle(request.id);
    if (idle !== undefined) {
      return await this.#sendOn(idle, request);
    }
    this.#removeIdleAtLimit();
    const opened = await this.#open();
    return opened.ok
      ? await this.#sendOn(opened.val, request)
      : Err({ stage: "opening", ...opened.val });
  }

  /** Closes idle connections; connections in use close after their request. */
  close(): void {
    this.#closed = true;
    for (const connection of this.#idle.splice(0)) {
      this.#remove(connection);
    }
  }

  async #sendOn(
    connection: HttpConnection,
    request: HttpRequest,
  ): Promise<Result<HttpResponse, PoolFailure>> {
    const sentAtMs = this.#options.clock.readMs();
    const sent = await connection.send(request);
    if (!sent.ok) {
      this.#removeFailed(connection, sent.val.cause, sentAtMs);
      return Err({ stage: "sending", ...sent.val });
    }
    if (sent.val.stream === undefined) {
      this.#handleResponse(connection, sent.val);
    } else {
      void this.#handleStream(connection, sent.val, sentAtMs);
    }
    return Ok(sent.val);
  }

  /** Takes the connection back when the response has arrived completely. */
  async #handleStream(
    connection: HttpConnection,
    response: HttpResponse,
    sentAtMs: number,
  ): Promise<void> {
    const end = await response.stream?.ended;
    if (end?.kind === "broken") {
      this.#removeFailed(connection, end.cause, sentAtMs);
    } else {
      this.#handleResponse(connection, response);
    }
  }

  #handleResponse(connection: HttpConnection, response: HttpResponse): void {
    this.#lastResponseAtMs = this.#options.clock.readMs();
    if (isLastResponse(response) || connection.isUsedUp) {
      this.#remove(connection);
    } else {
      this.#addIdle(connection);
    }
  }

  #removeFailed(
    connection: HttpConnection,
    cause: SendFailureCause | StreamBreak,
    sentAtMs: number,
  ): void {
    const mayHaveRestarted = cause === "reset" || cause === "cut" ||
      cause === "unread" || cause === "malformed";
    this.#mayHaveRestarted ||= mayHaveRestarted ||
      this.#lastResponseAtMs < sentAtMs;
    this.#remove(connection);
  }

  async #open(): Promise<Result<HttpConnection, OpenFailure>> {
    if (this.#connections >= this.#options.maxConnections) {
      const limit = this.#options.maxConnections;
      const message = `All ${limit} connections to ${this.#address} are in use`;
      return Err({ kind: "exhausted", message });
    }
    this.#connections++;
    const { connectTimeoutMs, clock, sourceAddress } = this.#options;
    const opened = await openConnection(this.#address, {
      timeoutMs: connectTimeoutMs,
      clock,
      ...(sourceAddress === undefined ? {} : { sourceAddress }),
    });
    if (opened.ok) {
      this.#established++;
    } else {
      this.#connections--;
    }
    return opened;
  }

  /**
   * Takes the last used connection that may carry a request with this id; the
   * peer is least likely to have closed it.
   */
  #takeIdle(id: string | undefined): HttpConnection | undefined {
    const oldestAtMs = this.#options.clock.readMs() - this.#options.maxIdleMs;
    for (let index = this.#idle.length - 1; index >= 0; index--) {
      const connection = this.#idle[index]!;
      const isUsable = connection.isOpen &&
        connection.lastResponseAtMs >= oldestAtMs;
      if (isUsable && !connection.mayCarry(id)) {
        continue;
      }
      this.#idle.splice(index, 1);
      if (isUsable) {
        return connection;
      }
      this.#mayHaveRestarted ||= !connection.isOpen;
      this.#remove(connection);
    }
    return undefined;
  }

  /** Makes room for a new connection; idle ones must not carry the request. */
  #removeIdleAtLimit(): void {
    if (this.#connections >= this.#options.maxConnections) {
      const connection = this.#idle.shift();
      if (connection !== undefined) {
        this.#remove(connection);
      }
    }
  }

  #addIdle(connection: HttpConnection): void {
    if (this.#closed || !connection.isOpen) {
      this.#mayHaveRestarted ||= !connection.isOpen;
      this.#remove(connection);
      return;
    }
    this.#idle.push(connection);
  }

  #remove(connection: HttpConnection): void {
    this.#connections--;
    this.#established--;
    this.#mayHaveRestarted ||= this.#established === 0;
    connection.close();
  }
}

/** Whether the peer closes the connection after this response. */
function isLastResponse({ headers }: HttpResponse): boolean {
  return headers.some(({ name, value }) =>
    name === "connection" && value.toLowerCase() === "close"
  );
}
