/**
 * Connections to one address in sessions. Behind a session there is one process
 * for certain.
 *
 * Guards against an order that reaches another life of the process it was meant
 * for. A process may start again under its id at its address, and no answer
 * tells which life gave it: only the end of connections shows. So each session
 * has connections of its own, and is over once these are broken.
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
  /** The session is over, and nothing was sent. */
  | { readonly stage: "session"; readonly message: string };

export class SessionPool {
  /** Sessions of all pools are numbered together: none is taken for another. */
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

  /** Of the process that answers now; another number where it may be another. */
  get session(): number {
    if (!this.#pool.isSameProcess) {
      this.#pool.close();
      this.#pool = new ConnectionPool(this.#address, this.#options);
      this.#session = ++SessionPool.#lastSession;
    }
    return this.#session;
  }

  /** Sends within a session, or not at all. */
  async send(
    request: HttpRequest,
    session: number,
  ): Promise<Result<HttpResponse, SessionFailure>> {
    if (session !== this.session) {
      const message = `Session ${session} with ${this.#address} is over`;
      return Err({ stage: "session", message });
    }
    return await this.#pool.send({
      ...request,
      // A connection may have been opened after the others were lost.
      mayStart: () => session === this.session,
    });
  }

  close(): void {
    this.#pool.close();
  }
}
