/**
 * Groups the connections to one address into sessions. All connections of a
 * session lead to the same incarnation of a process.
 *
 * This prevents an order from reaching another incarnation of the process than
 * it is meant for. A process may restart under its id at its address, and no
 * response shows which incarnation sent it; only the end of connections reveals
 * a restart. So each session has its own connections, and ends when they no
 * longer prove that the process is the same.
 */
import { Err, type Result } from "@lentilspur/outcomes/result";
import {
  ConnectionPool,
  type PoolFailure,
  type PoolOptions,
} from "./connection_pool.ts";
import type { HttpRequest, HttpResponse } from "./http_exchange.ts";

export type SessionFailure =
  | PoolFailure
  /** The session has ended, and nothing was sent. */
  | { readonly stage: "session"; readonly message: string };

export class SessionPool {
  /**
   * Sessions are numbered across all pools, so that no two have the same
   * number.
   */
  static #lastSession = 0;
  readonly #address: string;
  readonly #options: PoolOptions;
  #pool: ConnectionPool;
  #session = ++SessionPool.#lastSession;

  constructor(address: string, options: PoolOptions) {
    this.#address = address;
    this.#options = options;
    this.#pool = new ConnectionPool(address, options);
  }

  /**
   * Number of the current session; changes when the process may have restarted.
   */
  get session(): number {
    if (!this.#pool.isSameProcess) {
      this.#pool.close();
      this.#pool = new ConnectionPool(this.#address, this.#options);
      this.#session = ++SessionPool.#lastSession;
    }
    return this.#session;
  }

  /** Sends a request within the given session, or not at all. */
  async send(
    request: HttpRequest,
    session: number,
  ): Promise<Result<HttpResponse, SessionFailure>> {
    if (session !== this.session) {
      const message = `Session ${session} with ${this.#address} has ended`;
      return Err({ stage: "session", message });
    }
    return await this.#pool.send({
      ...request,
      // The session may end while a new connection is being opened.
      mayStart: () => session === this.session,
    });
  }

  close(): void {
    this.#pool.close();
  }
}
