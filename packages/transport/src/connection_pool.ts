/**
 * Connections to one address. One that has been idle for long is not used: it
 * may have gone silent while nobody looked.
 */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import {
  HttpConnection,
  openConnection,
  type OpenFailure,
} from "./http_connection.ts";
import type {
  HttpRequest,
  HttpResponse,
  SendFailure,
} from "./http_exchange.ts";

export interface PoolOptions {
  readonly clock: Clock;
  /** Connections open or being opened at one time. */
  readonly maxConnections: number;
  /** Longest wait for a connection to open. */
  readonly connectTimeoutMs: number;
  /** An idle connection that has given no answer for this long is not used. */
  readonly maxIdleMs: number;
}

export type PoolFailure =
  | ({ readonly stage: "opening" } & OpenFailure)
  | ({ readonly stage: "sending" } & SendFailure);

export class ConnectionPool {
  readonly #address: string;
  readonly #options: PoolOptions;
  readonly #idle: HttpConnection[] = [];
  /** Open or being opened. */
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
   * Whether one and the same process has stood behind the address ever since
   * the first connection: at each moment some connection was open, none ended
   * unannounced, and none fell silent unless another was heard meanwhile.
   */
  get isSameProcess(): boolean {
    return !this.#mayHaveRestarted && this.#idle.every((one) => one.isOpen);
  }

  /** Sends on an idle connection or on a fresh one. Sends nothing twice. */
  async send(request: HttpRequest): Promise<Result<HttpResponse, PoolFailure>> {
    const taken = this.#takeIdle();
    if (taken !== undefined) {
      return await this.#sendOn(taken, request);
    }
    const opened = await this.#open();
    return opened.ok
      ? await this.#sendOn(opened.val, request)
      : Err({ stage: "opening", ...opened.val });
  }

  /** Ends idle connections; those in use end after their request. */
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
      const isGivenUp = sent.val.cause !== "reset" && sent.val.cause !== "cut";
      this.#mayHaveRestarted ||= !isGivenUp ||
        this.#lastResponseAtMs < sentAtMs;
      this.#remove(connection);
      return Err({ stage: "sending", ...sent.val });
    }
    this.#lastResponseAtMs = this.#options.clock.readMs();
    if (isLastResponse(sent.val)) {
      this.#remove(connection);
    } else {
      this.#addIdle(connection);
    }
    return Ok(sent.val);
  }

  async #open(): Promise<Result<HttpConnection, OpenFailure>> {
    if (this.#connections >= this.#options.maxConnections) {
      const limit = this.#options.maxConnections;
      const message = `All ${limit} connections to ${this.#address} are in use`;
      return Err({ kind: "unreachable", message });
    }
    this.#connections++;
    const opened = await openConnection(this.#address, {
      timeoutMs: this.#options.connectTimeoutMs,
      clock: this.#options.clock,
    });
    if (opened.ok) {
      this.#established++;
    } else {
      this.#connections--;
    }
    return opened;
  }

  /** The one used last, since the peer is the least likely to have closed it. */
  #takeIdle(): HttpConnection | undefined {
    const oldest = this.#options.clock.readMs() - this.#options.maxIdleMs;
    for (;;) {
      const connection = this.#idle.pop();
      if (connection === undefined) {
        return undefined;
      }
      if (connection.isOpen && connection.lastResponseAtMs >= oldest) {
        return connection;
      }
      this.#mayHaveRestarted ||= !connection.isOpen;
      this.#remove(connection);
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

/** Whether the peer has said that it closes the connection. */
function isLastResponse({ headers }: HttpResponse): boolean {
  return headers.some(({ name, value }) =>
    name === "connection" && value.toLowerCase() === "close"
  );
}
