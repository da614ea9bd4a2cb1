/**
 * One TCP connection that carries one HTTP request at a time.
 *
 * `undici` speaks the protocol, over a socket that is opened here, so that two
 * things hold which its own pools do not give: it can never reconnect and send
 * a request again, and the socket can be reset, so that what the kernel still
 * holds of a cancelled request never leaves.
 */
import { connect, type Socket } from "node:net";
import { type buildConnector, Client } from "undici";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import type {
  HttpRequest,
  HttpResponse,
  SendFailure,
} from "./http_exchange.ts";
import { ResponseCollector } from "./response_collector.ts";
import { ResponseTimeout } from "./response_timeout.ts";

export interface OpenFailure {
  /** `refused`: nothing listens there. `unreachable`: nobody answered. */
  readonly kind: "refused" | "unreachable";
  readonly message: string;
}

/** After this long without traffic the kernel asks whether the peer is there. */
const TCP_KEEP_ALIVE_MS = 1_000;

export class HttpConnection {
  readonly #socket: Socket;
  readonly #client: Client;
  readonly #clock: Clock;
  #lastResponseAtMs: number;
  #isSocketTaken = false;
  #hasReceivedFin = false;

  constructor(socket: Socket, address: string, clock: Clock) {
    this.#socket = socket;
    // Before `undici` hears of it, which takes an answer without a length for
    // whole however its connection ended.
    socket.on("end", () => this.#hasReceivedFin = true);
    this.#clock = clock;
    this.#lastResponseAtMs = clock.readMs();
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (_options, callback) => this.#offerSocket(callback),
    });
  }

  /** Whether a request may be put on it. */
  get isOpen(): boolean {
    return !this.#socket.destroyed && this.#socket.readyState === "open";
  }

  /** When the last whole answer came in, or when it was opened; own clock. */
  get lastResponseAtMs(): number {
    return this.#lastResponseAtMs;
  }

  /** Sends one request; the connection is unusable after a failure. */
  async send(request: HttpRequest): Promise<Result<HttpResponse, SendFailure>> {
    const writtenBefore = this.#socket.bytesWritten;
    const collector = new ResponseCollector(
      request,
      () => timeout.recordData(),
    );
    const timeout = new ResponseTimeout(
      request,
      (message) => collector.fail("silent", message),
    );
    const cancel = () => collector.fail("cancelled", "The request was dropped");
    request.signal?.addEventListener("abort", cancel, { once: true });
    if (request.signal?.aborted) {
      cancel();
    } else {
      this.#dispatch(request, collector);
    }
    const ending = await collector.outcome;
    timeout.clear();
    request.signal?.removeEventListener("abort", cancel);
    if (
      ending.kind === "answered" && !ending.response.isSelfDelimited &&
      !this.#hasReceivedFin
    ) {
      this.reset();
      const message = "The connection broke within the answer";
      return Err({ written: true, cause: "cut", message });
    }
    if (ending.kind === "answered") {
      this.#lastResponseAtMs = this.#clock.readMs();
      return Ok(ending.response);
    }
    // Anything but the very same count is taken as written.
    const written = this.#socket.bytesWritten !== writtenBefore;
    this.reset();
    return Err({ written, cause: ending.cause, message: ending.message });
  }

  /**
   * Ends the connection with a reset. Failure: a request was given up while
   * part of it waits in the kernel behind a silent path, and the path comes
   * back minutes later. A plain close would still deliver it; a reset discards
   * it.
   */
  reset(): void {
    this.#socket.resetAndDestroy();
    this.#client.destroy().catch(() => undefined);
  }

  /** Ends an idle connection. */
  close(): void {
    this.#socket.destroy();
    this.#client.destroy().catch(() => undefined);
  }

  #dispatch(request: HttpRequest, collector: ResponseCollector): void {
    const headers = (request.headers ?? []).flatMap((field) => [
      field.name,
      field.value,
    ]);
    try {
      this.#client.dispatch({
        method: request.method,
        path: request.path,
        headers,
        body: request.body ?? null,
      }, collector.handler);
    } catch (error) {
      collector.fail("reset", String(error));
    }
  }

  /**
   * Failure: `undici` reopens a lost connection and puts a queued or reset
   * request on the new one, so that it runs twice. It gets one socket for its
   * life; every later attempt to connect fails.
   */
  #offerSocket(callback: buildConnector.Callback): void {
    if (this.#isSocketTaken || !this.isOpen) {
      callback(new Error("The connection was closed"), null);
      return;
    }
    this.#isSocketTaken = true;
    // `undici` ignores an answer that comes before its call returns.
    queueMicrotask(() => callback(null, this.#socket));
  }
}

/** Opens a connection to `host:port`; nothing is written to it. */
export function openConnection(
  address: string,
  options: { readonly timeoutMs: number; readonly clock: Clock },
): Promise<Result<HttpConnection, OpenFailure>> {
  const separator = address.lastIndexOf(":");
  const host = address.slice(0, separator).replace(/^\[|\]$/g, "");
  const port = Number(address.slice(separator + 1));
  if (!Number.isInteger(port) || port < 1 || port > 65_535) {
    const message = `Address "${address}" has no port; write host:port`;
    return Promise.resolve(Err({ kind: "unreachable", message }));
  }
  return new Promise((resolve) => {
    const socket = connect({ host, port, noDelay: true });
    const timer = setTimeout(() => {
      socket.destroy();
      const message = `No connection to ${address} in ${options.timeoutMs} ms`;
      resolve(Err({ kind: "unreachable", message }));
    }, options.timeoutMs);
    socket.on("error", (error: NodeJS.ErrnoException) => {
      clearTimeout(timer);
      const kind = error.code === "ECONNREFUSED" ? "refused" : "unreachable";
      resolve(Err({ kind, message: error.message }));
    });
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.setKeepAlive(true, TCP_KEEP_ALIVE_MS);
      resolve(Ok(new HttpConnection(socket, address, options.clock)));
    });
  });
}
