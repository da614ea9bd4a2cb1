/**
 * One TCP connection that carries one HTTP request at a time.
 *
 * `undici` implements the protocol, over a socket that this module opens. This
 * gives two guarantees that the pools of `undici` do not: `undici` can never
 * reconnect and send a request again, and the socket can be reset, so that the
 * part of a cancelled request that is still in the kernel is never sent.
 */
import { connect, type Socket } from "node:net";
import { type buildConnector, Client } from "undici";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import { waitForArrivedData } from "@lentilspur/ports/event_loop";
import type { ConnectionTrace } from "@lentilspur/ports/connection_trace";
import type { ResponseStream } from "@lentilspur/ports/response_stream";
import type {
  HttpRequest,
  HttpResponse,
  ResponseVerdict,
  SendFailure,
} from "./http_exchange.ts";
import { ResponseCollector } from "./response_collector.ts";
import { ResponseTimeout } from "./response_timeout.ts";
import { observeReads } from "./status_lines.ts";

export interface OpenFailure {
  /**
   * `refused`: no process listens there. `exhausted`: the pool has no free
   * connection. `unreachable`: any other failure.
   */
  readonly kind: "refused" | "exhausted" | "unreachable";
  readonly message: string;
}

/**
 * After this long without traffic the kernel probes whether the peer is alive.
 */
const TCP_KEEP_ALIVE_MS = 1_000;
/** A connection that remembers this many ids is replaced. */
const MAX_REPEATABLE_IDS = 64;
/** The same if one of them is longer; callers choose their ids. */
const MAX_ID_LENGTH = 128;

export class HttpConnection {
  static #lastNumber = 0;
  readonly #number = ++HttpConnection.#lastNumber;
  readonly #localPort: number | undefined;
  #requests = 0;
  /** Ids of requests that may be sent again, on other connections. */
  readonly #repeatableIds = new Set<string>();
  #isUsedUp = false;
  readonly #socket: Socket;
  readonly #client: Client;
  readonly #clock: Clock;
  #lastResponseAtMs: number;
  #isSocketTaken = false;
  #hasReceivedFin = false;
  /** Collects the response that is arriving. */
  #collector: ResponseCollector | undefined;
  /** Bytes that the parser had received before that response. */
  #receivedBefore = 0;

  constructor(socket: Socket, address: string, clock: Clock) {
    this.#socket = socket;
    this.#localPort = socket.localPort;
    // These listeners must run before those of `undici`, which reports a
    // response that ends with its connection as complete however that ended, and
    // asserts that its read is not paused.
    socket.on("end", () => {
      this.#hasReceivedFin = hasPeer(socket);
      this.#collector?.resumeReading();
    });
    socket.on("error", markPeerReset);
    observeReads(socket, (bytes) => this.#collector?.observeRead(bytes));
    this.#clock = clock;
    this.#lastResponseAtMs = clock.readMs();
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (_options, callback) => this.#offerSocket(callback),
    });
  }

  /** Whether the socket is open in both directions. */
  get isOpen(): boolean {
    return !this.#socket.destroyed && this.#socket.readyState === "open";
  }

  /** Whether the connection may carry a request with this id. */
  mayCarry(id: string | undefined): boolean {
    return id === undefined || !this.#repeatableIds.has(id);
  }

  /**
   * Whether the connection must carry no further request, since a late copy of
   * a response could not be told from the next response.
   */
  get isUsedUp(): boolean {
    return this.#isUsedUp || this.#repeatableIds.size >= MAX_REPEATABLE_IDS;
  }

  /**
   * Clock time of the last complete response or, before one, of the opening.
   */
  get lastResponseAtMs(): number {
    return this.#lastResponseAtMs;
  }

  /** Bytes that the HTTP parser has received. */
  get #parsedBytes(): number {
    return this.#socket.bytesRead - this.#socket.readableLength;
  }

  /**
   * Sends one request; the connection is unusable after a failure, and in use
   * until the stream of its response has ended.
   */
  async send(request: HttpRequest): Promise<Result<HttpResponse, SendFailure>> {
    const writtenBefore = this.#socket.bytesWritten;
    this.#requests++;
    const collector = new ResponseCollector(request, {
      observeData: () => timeout.recordData(),
      hasReceivedFin: () => this.#hasReceivedFin,
      isFirst: this.#requests === 1,
    });
    this.#collector = collector;
    this.#receivedBefore = this.#parsedBytes;
    const timeout = new ResponseTimeout(
      request,
      (message) => collector.fail("silent", message),
    );
    const cancel = () =>
      collector.fail("cancelled", "The sender cancelled the request");
    request.signal?.addEventListener("abort", cancel, { once: true });
    if (request.signal?.aborted) {
      cancel();
    } else {
      this.#dispatch(request, collector);
    }
    const outcome = await collector.outcome;
    request.signal?.removeEventListener("abort", cancel);
    const trace = this.#createTrace(writtenBefore);
    if (outcome.kind === "failed") {
      timeout.clear();
      // Unless the count is unchanged, the request counts as written.
      const written = this.#socket.bytesWritten !== writtenBefore;
      this.reset();
      const { cause, message } = outcome;
      return Err({ written, cause, message, trace });
    }
    const response = { ...outcome.response, trace };
    this.#recordVerdict(collector.verdict, request.id);
    if (response.stream === undefined) {
      timeout.clear();
      this.#recordResponse();
    } else {
      void this.#handleStreamEnd(response.stream, timeout);
    }
    return Ok(response);
  }

  #recordVerdict(verdict: ResponseVerdict, id: string | undefined): void {
    switch (verdict) {
      case "own-repeatable":
        if (id === undefined || id.length > MAX_ID_LENGTH) {
          this.#isUsedUp = true;
        } else {
          this.#repeatableIds.add(id);
        }
        return;
      case "own-last":
        this.#isUsedUp = true;
        return;
      case "own":
      case "foreign":
        return;
    }
  }

  #createTrace(writtenBefore: number): ConnectionTrace {
    return {
      connection: this.#number,
      localPort: this.#localPort,
      position: this.#requests,
      writtenBytes: this.#socket.bytesWritten - writtenBefore,
    };
  }

  async #handleStreamEnd(
    stream: ResponseStream,
    timeout: ResponseTimeout,
  ): Promise<void> {
    const end = await stream.ended;
    timeout.clear();
    if (end.kind === "broken") {
      this.reset();
      return;
    }
    this.#recordResponse();
  }

  #recordResponse(): void {
    this.#lastResponseAtMs = this.#clock.readMs();
    // An idle connection would keep the response in memory.
    this.#collector = undefined;
  }

  #checkFraming(): void {
    this.#collector?.checkFraming(this.#parsedBytes - this.#receivedBefore);
  }

  /**
   * Closes the connection with a TCP reset, which discards data that waits in
   * the kernel. After a plain close, the kernel would still deliver the rest of
   * an abandoned request when a failed network path recovers, even minutes
   * later.
   */
  reset(): void {
    // Without an error, `undici` takes a response that ends with its connection
    // for whole.
    this.#socket.emit("error", new Error("The connection was reset here"));
    this.#socket.resetAndDestroy();
    this.#client.destroy().catch(() => undefined);
  }

  /** Closes an idle connection. */
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
        body: request.createBody?.() ?? request.body ?? null,
      }, collector.handler);
    } catch (error) {
      collector.fail("reset", String(error));
    }
  }

  /**
   * Gives `undici` the socket once; every later attempt to connect fails.
   * Otherwise, `undici` would reopen a lost connection and send a queued or
   * reset request on the new connection, so that the request would run twice.
   */
  #offerSocket(callback: buildConnector.Callback): void {
    if (this.#isSocketTaken || !this.isOpen) {
      callback(new Error("The connection was closed"), null);
      return;
    }
    this.#isSocketTaken = true;
    // `undici` ignores a callback that is invoked before its call returns.
    queueMicrotask(() => {
      this.#socket.on("readable", () => this.#checkFraming());
      callback(null, this.#socket);
    });
  }
}

/**
 * Whether the connection still has a peer, which it has after a FIN and not
 * after a reset. libuv reports the end of the stream in both cases if a reset
 * arrives together with data, so `end` alone does not prove a FIN.
 *
 * Node.js asks the kernel for the address (`getpeername`) when it is first read,
 * and caches it; so nothing may read the address of the peer before the end.
 */
function hasPeer(socket: Socket): boolean {
  return socket.remoteAddress !== undefined;
}

/**
 * Keeps `undici` from taking a response that ends with its connection for whole
 * when the peer resets the connection.
 */
function markPeerReset(error: NodeJS.ErrnoException): void {
  if (error.code === "ECONNRESET") {
    error.code = "PEER_RESET";
  }
}

export interface OpenOptions {
  readonly timeoutMs: number;
  readonly clock: Clock;
  /** Local address to connect from; chosen by the system if it is missing. */
  readonly sourceAddress?: string;
}

/** Opens a connection to `host:port` without writing to it. */
export function openConnection(
  address: string,
  options: OpenOptions,
): Promise<Result<HttpConnection, OpenFailure>> {
  const separator = address.lastIndexOf(":");
  const host = address.slice(0, separator).replace(/^\[|\]$/g, "");
  const port = Number(address.slice(separator + 1));
  if (!Number.isInteger(port) || port < 1 || port > 65_535) {
    const message =
      `Address "${address}" has no valid port; expected host:port`;
    return Promise.resolve(Err({ kind: "unreachable", message }));
  }
  return new Promise((resolve) => {
    const { sourceAddress: localAddress } = options;
    const socket = connect({
      host,
      port,
      noDelay: true,
      ...(localAddress === undefined ? {} : { localAddress }),
    });
    const timer = setTimeout(async () => {
      await waitForArrivedData();
      if (!socket.connecting) {
        return;
      }
      socket.destroy();
      const message =
        `No connection to ${address} within ${options.timeoutMs} ms`;
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
