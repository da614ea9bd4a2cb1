/**
 * Serves callers over HTTP. It uses Node's own server: moleculer-web would add
 * 0.29 s of CPU time to each start and has no part in routing
 * (docs/design/overview.md).
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  type AddressInfo,
  Server as ListeningServer,
  type Socket,
} from "node:net";
import type { HeaderField } from "@lentilspur/ports/header_field";
import { ResetOnClose } from "@lentilspur/transport/reset_on_close";
import type { Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import { waitForArrivedData } from "@lentilspur/ports/event_loop";
import {
  ERROR_RESPONSES,
  type ErrorKind,
} from "@lentilspur/outcomes/error_kinds";
import type {
  CallerRequest,
  FinalResponse,
  RequestMetadata,
} from "./caller_request.ts";
import { SERVER_CLOSED } from "./abort_reasons.ts";
import { CallerConnection, type LatePart } from "./caller_connection.ts";
import type { ConnectionRequest } from "./connection_requests.ts";
import { openListener } from "./open_listener.ts";
import type {
  BodyFailure,
  RequestBodies,
  RequestBody,
} from "./request_bodies.ts";
import { ConnectionResets } from "./connection_resets.ts";
import {
  readWhole,
  type StreamDelivery,
  waitUntilBuffered,
  writeStream,
} from "./stream_writer.ts";

export interface RequestServerOptions {
  readonly clock: Clock;
  readonly host: string;
  readonly port: number;
  /** How long this process has just been stalled; 0 if it was not. */
  readonly readStallMs: () => number;
  /** How long this process has been stalled since its start. */
  readonly readTotalStallMs: () => number;
  readonly parseMetadata: (headers: readonly HeaderField[]) => RequestMetadata;
  /** Whether a request may run more than once. */
  readonly isIdempotent: (request: CallerRequest) => boolean;
  readonly handle: (request: CallerRequest) => Promise<FinalResponse>;
  /** Called when a response that was passed on in parts has ended. */
  readonly observeDelivery: (
    delivery: StreamDelivery & { readonly requestId: string | undefined },
  ) => void;
  readonly reportFailure: (failure: {
    readonly requestId: string | undefined;
    readonly kind: ErrorKind;
    readonly message: string;
  }) => void;
  readonly reportFault: (message: string) => void;
  /** Connections that are open at the same time. */
  readonly maxConnections: number;
  /** Called when one is closed because as many are open as may be. */
  readonly observeClosedConnection: (connections: number) => void;
  /** Called when a caller is refused because it sends a request too slowly. */
  readonly observeLateCaller: (part: LatePart) => void;
  readonly bodies: RequestBodies;
  /** Time to receive a body within the limits. */
  readonly bodyTimeoutMs?: number;
  /** Replaces the socket option of this system. */
  readonly loadResetOnClose?: () => Promise<Result<ResetOnClose, string>>;
}

type AnsweredResponse = FinalResponse & { readonly kind: "answered" };
type FailedResponse = FinalResponse & { readonly kind: "failed" };
/** A request, or why it is refused without being run. */
type ReadRequest = CallerRequest | FailedResponse;

/** Where the response to a request is written. */
interface Reply {
  readonly requestId: string | undefined;
  readonly request: ConnectionRequest;
  readonly connection: CallerConnection;
  readonly response: ServerResponse;
  /** Aborts when the caller leaves. */
  readonly signal: AbortSignal;
}

export interface ServerLimits {
  readonly maxBodyBytes: number;
  readonly headTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Limits until a configuration is loaded; ordinary values of HTTP servers. */
const DEFAULT_LIMITS: ServerLimits = {
  maxBodyBytes: 64 * 1024 * 1024,
  headTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
/**
 * Above the header limit of any configuration; Node's limit is fixed at the
 * start.
 */
const MAX_HEAD_BYTES = 64 * 1024;
/** A slow phone network needs some seconds. */
const BODY_TIMEOUT_MS = 10_000;
const CHECK_INTERVAL_MS = 1_000;
/** A connection is accepted in one round, and read in a later one. */
const QUIET_ROUNDS = 4;
/** More than the connections that wait to be accepted at once. */
const MAX_ROUNDS = 1_000;
/** Statuses whose responses have no body (RFC 9110). */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);
/** Header that states whether the request ran, as far as it can be proved. */
const OUTCOME_HEADER = "lentilspur-outcome";
const REQUEST_ID_HEADER = "lentilspur-request-id";
/** Headers of a single connection, which Node's server writes itself. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
  "proxy-connection",
  "upgrade",
  "trailer",
  "te",
]);

export class RequestServer {
  readonly #options: RequestServerOptions;
  readonly #server: Server;
  /** By when they last received a response, or were opened. */
  readonly #connections = new Map<Socket, CallerConnection>();
  readonly #resets: ConnectionResets;
  #limits = DEFAULT_LIMITS;
  #isDraining = false;
  #isRefusing = false;
  #openRequests = 0;
  #lastRequestAtMs = -Infinity;
  /** Number of connections and requests so far. */
  #arrivals = 0;

  constructor(options: RequestServerOptions) {
    this.#options = options;
    this.#resets = new ConnectionResets({
      load: options.loadResetOnClose ?? ResetOnClose.load,
      reportFault: options.reportFault,
    });
    this.#server = createServer({
      headersTimeout: DEFAULT_LIMITS.headTimeoutMs,
      requestTimeout: DEFAULT_LIMITS.headTimeoutMs + this.#bodyTimeoutMs,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMs,
      maxHeaderSize: MAX_HEAD_BYTES,
      noDelay: true,
    }, (message, response) => void this.#handle(message, response));
    this.#server.on("connection", (socket) => this.#addConnection(socket));
    this.#server.on(
      "clientError",
      (error, socket) => this.#handleInvalidRequest(error, socket as Socket),
    );
    this.#server.on("timeout", (socket) => void this.#closeIdle(socket));
  }

  get #bodyTimeoutMs(): number {
    return this.#options.bodyTimeoutMs ?? BODY_TIMEOUT_MS;
  }

  /** The port that the server listens on; chosen by the system for port 0. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Number of requests that are not answered yet. */
  get openRequests(): number {
    return this.#openRequests;
  }

  /** Number of requests that wait for earlier ones of their connections. */
  get heldRequests(): number {
    return [...this.#connections.values()]
      .reduce((sum, { requests }) => sum + requests.held, 0);
  }

  /** When the last request arrived, on this instance's clock. */
  get lastRequestAtMs(): number {
    return this.#lastRequestAtMs;
  }

  open(): Promise<void> {
    return openListener(this.#server, this.#options);
  }

  setLimits(limits: ServerLimits): void {
    this.#limits = limits;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    this.#server.headersTimeout = limits.headTimeoutMs;
    this.#server.requestTimeout = limits.headTimeoutMs + this.#bodyTimeoutMs;
  }

  /**
   * Closes each connection after its current or next request. Still accepts new
   * connections and requests, see `refuse`.
   */
  drain(): void {
    this.#isDraining = true;
    this.#connections.forEach(({ requests }) => requests.drain());
  }

  /**
   * Refuses new requests. A caller learns that its request has not run, and can
   * send it to another instance; on a connection that is closed it would learn
   * nothing.
   */
  refuse(): void {
    this.#isRefusing = true;
  }

  /**
   * Resolves when the connections and requests that have reached this machine
   * are read. After a standstill of the process, timers run before these are,
   * and a round of the event loop accepts few connections.
   */
  async readArrived(): Promise<void> {
    let quietRounds = 0;
    for (
      let round = 0;
      round < MAX_ROUNDS && quietRounds < QUIET_ROUNDS;
      round++
    ) {
      const before = this.#arrivals;
      await new Promise((resolve) => setImmediate(resolve));
      quietRounds = this.#arrivals === before ? quietRounds + 1 : 0;
    }
  }

  /** Accepts no more connections; those that are open stay so. */
  closeListener(): void {
    // `Server.close` of `node:http` would also destroy connections whose
    // responses are still being flushed.
    ListeningServer.prototype.close.call(this.#server);
  }

  /**
   * Ends all connections, and resolves when the responses that this breaks off
   * have been reported.
   */
  async close(): Promise<void> {
    this.#connections.forEach(({ requests }) => requests.leave(SERVER_CLOSED));
    this.#server.close();
    this.#server.closeAllConnections();
    await waitForArrivedData();
  }

  #addConnection(socket: Socket): void {
    this.#arrivals++;
    const connection = new CallerConnection(socket, this.#options);
    if (this.#isDraining) {
      connection.requests.drain();
    }
    if (this.#connections.size >= this.#options.maxConnections) {
      this.#closeLeastUseful(socket);
    }
    if (!socket.destroyed) {
      this.#connections.set(socket, connection);
      socket.once("close", () => this.#connections.delete(socket));
    }
  }

  /**
   * Makes room for a new connection: closes the one that has gone longest
   * without a response, and on which no whole request waits for one. Closes the
   * new one if there is none.
   */
  #closeLeastUseful(newSocket: Socket): void {
    const connections = this.#connections.size;
    const socket = this.#findLeastUseful() ?? newSocket;
    this.#connections.delete(socket);
    socket.destroy();
    this.#options.observeClosedConnection(connections);
  }

  #findLeastUseful(): Socket | undefined {
    for (const [socket, { requests }] of this.#connections) {
      if (!requests.hasWholeRequest) {
        return socket;
      }
    }
    return undefined;
  }

  /** Counts a connection as used just now. */
  #recordUse(socket: Socket, connection: CallerConnection): void {
    if (this.#connections.delete(socket)) {
      this.#connections.set(socket, connection);
    }
  }

  async #handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { clock, readStallMs } = this.#options;
    const connection = this.#connections.get(message.socket);
    if (connection === undefined) {
      return; // The connection has just been closed.
    }
    // A request that is read after a stall may have arrived at its beginning.
    const arrivedAtMs = clock.readMs() - readStallMs();
    this.#lastRequestAtMs = clock.readMs();
    this.#arrivals++;
    this.#openRequests++;
    const controller = new AbortController();
    const request: ConnectionRequest = {
      isRead: () => message.complete,
      cancel: (reason) => controller.abort(reason),
      end: () => this.#openRequests--,
    };
    connection.add(request);
    response.on("finish", () => {
      connection.remove(request);
      this.#recordUse(message.socket, connection);
    });
    const body = this.#options.bodies.open(message, this.#limits.maxBodyBytes);
    const read = await this.#readRequest(message, body, {
      arrivedAtMs,
      signal: controller.signal,
    });
    const finalResponse = await this.#answer(read, {
      message,
      body,
      request,
      connection,
      response,
      signal: controller.signal,
    });
    releaseAfter(finalResponse, body);
  }

  /** Runs a request when it is its turn, and begins to write the response. */
  async #answer(
    read: ReadRequest,
    { message, body, request, connection, response, signal }:
      & Omit<Reply, "requestId">
      & { readonly message: IncomingMessage; readonly body: RequestBody },
  ): Promise<FinalResponse | undefined> {
    // After a stall the end of a connection is read behind its last request,
    // which must not be passed on.
    await waitForArrivedData();
    const mayRun = await connection.requests.waitForTurn(request, {
      bytes: body.size,
      isIdempotent: "failure" in read || this.#options.isIdempotent(read),
      endsConnection: !message.complete || !response.shouldKeepAlive,
    });
    if (!mayRun) {
      return undefined;
    }
    const finalResponse = await this.#run(read);
    if (!await connection.requests.waitForResponseTurn(request)) {
      cancelStream(finalResponse);
      return finalResponse;
    }
    const requestId = "failure" in read ? undefined : read.requestId;
    const reply = { requestId, request, connection, response, signal };
    this.#writeResponse(
      await this.#collectIfNeeded(finalResponse, reply),
      reply,
    );
    return finalResponse;
  }

  /**
   * Reads a large response to its end before it is passed on if others behind
   * it have been passed on: it may break off, and would cut them off.
   */
  async #collectIfNeeded(
    finalResponse: FinalResponse,
    { requestId, request, connection: { requests }, signal }: Reply,
  ): Promise<FinalResponse> {
    if (
      finalResponse.kind !== "answered" || finalResponse.stream === undefined
    ) {
      return finalResponse;
    }
    requests.reserveFor(request);
    if (requests.mayClose(request)) {
      return finalResponse;
    }
    if (!finalResponse.isSelfDelimited) {
      finalResponse.stream.cancel(
        "The response would cut off the requests behind it",
      );
      return this.#fail(requestId, "answer-lost");
    }
    return await this.#collect(finalResponse, requestId, signal);
  }

  /** Reads a response to its end; a failure if it breaks off. */
  async #collect(
    { stream, ...head }: AnsweredResponse,
    requestId: string | undefined,
    signal: AbortSignal,
  ): Promise<FinalResponse> {
    if (stream === undefined) {
      return head;
    }
    const body = await readWhole(stream, signal);
    return body === undefined
      ? this.#fail(requestId, "answer-lost")
      : { ...head, body };
  }

  async #run(read: ReadRequest): Promise<FinalResponse> {
    if ("failure" in read) {
      return read;
    }
    return this.#isRefusing
      ? this.#fail(read.requestId, "stopping")
      : await this.#options.handle(read);
  }

  async #readRequest(
    message: IncomingMessage,
    requestBody: RequestBody,
    received: Pick<CallerRequest, "arrivedAtMs" | "signal">,
  ): Promise<ReadRequest> {
    const headers = listHeaders(message.rawHeaders);
    const fields = this.#options.parseMetadata(headers);
    const { requestId } = fields;
    const result = await requestBody.result;
    if (!result.ok) {
      return this.#fail(requestId, result.failure.kind, result.failure);
    }
    if (requestId === undefined || message.headers.host === undefined) {
      return this.#fail(requestId, "malformed");
    }
    return {
      ...fields,
      requestId,
      method: message.method ?? "GET",
      host: message.headers.host,
      path: message.url ?? "/",
      headers,
      get body() {
        return requestBody.take();
      },
      ...received,
    };
  }

  #fail(
    requestId: string | undefined,
    failure: ErrorKind,
    {
      message = ERROR_RESPONSES[failure].advice,
      retryAfterMs,
    }: Omit<BodyFailure, "kind"> = {},
  ): FailedResponse {
    this.#options.reportFailure({ requestId, kind: failure, message });
    return {
      kind: "failed",
      failure,
      message,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    };
  }

  #writeResponse(
    finalResponse: FinalResponse,
    reply: Reply,
  ): void {
    const { requestId, request, connection: { requests }, response } = reply;
    if (response.destroyed) {
      cancelStream(finalResponse);
      return;
    }
    const mayClose = requests.mayClose(request);
    const endsConnection = isCloseDelimited(finalResponse, response);
    if (endsConnection && !mayClose) {
      // Closing the connection would cut the requests behind this one.
      const failure = this.#fail(requestId, "answer-lost");
      writeFailure(failure, requestId, response);
      return;
    }
    // A connection with an unread body cannot carry another request.
    const mustClose = requests.isClosing || this.#isDraining ||
      !request.isRead();
    if (mayClose && mustClose) {
      response.setHeader("Connection", "close");
      requests.closeAfter(request);
    } else if (endsConnection) {
      requests.closeAfter(request);
    }
    switch (finalResponse.kind) {
      case "answered":
        void (endsConnection
          ? this.#writeCloseDelimited(finalResponse, reply)
          : this.#writeTargetResponse(finalResponse, reply));
        return;
      case "failed":
        writeFailure(finalResponse, requestId, response);
        return;
    }
  }

  /**
   * Writes a response that only the end of the caller's connection ends. It is
   * held until it is whole, as far as memory allows: some callers take a reset
   * within it for its end.
   */
  async #writeCloseDelimited(
    answered: AnsweredResponse,
    reply: Reply,
  ): Promise<void> {
    const { requestId, response, signal } = reply;
    const { stream } = answered;
    const buffered = stream === undefined
      ? "whole"
      : await waitUntilBuffered(stream, signal);
    const isReset = await this.#resets.reserveFor(response);
    if (response.destroyed) {
      cancelStream(answered);
      return;
    }
    if (buffered === "broken-off") {
      const failure = this.#fail(requestId, "answer-lost");
      writeLastFailure(failure, requestId, response);
    } else if (isReset || buffered === "whole") {
      await this.#writeTargetResponse(answered, reply);
    } else {
      await this.#writeCollected(answered, reply);
    }
  }

  /** Reads a response to its end before its first byte is written. */
  async #writeCollected(
    answered: AnsweredResponse,
    reply: Reply,
  ): Promise<void> {
    const { requestId, response, signal } = reply;
    const collected = await this.#collect(answered, requestId, signal);
    if (response.destroyed) {
      return;
    }
    switch (collected.kind) {
      case "answered":
        writeWholeResponse(collected, response);
        return;
      case "failed":
        writeLastFailure(collected, requestId, response);
        return;
    }
  }

  async #writeTargetResponse(
    answered: AnsweredResponse,
    { requestId, response, signal }: Reply,
  ): Promise<void> {
    const { clock, readTotalStallMs } = this.#options;
    const { stream } = answered;
    if (stream === undefined) {
      writeWholeResponse(answered, response);
      return;
    }
    setTargetHead(answered, response);
    if (!answered.isSelfDelimited) {
      writeHeadWithoutLength(response);
    } else if (stream.length !== undefined) {
      response.setHeader("Content-Length", stream.length);
    }
    const delivery = await writeStream(stream, response, {
      signal,
      clock,
      stallTimeoutMs: this.#limits.idleTimeoutMs,
      readTotalStallMs,
    });
    this.#options.observeDelivery({ ...delivery, requestId });
  }

  /**
   * Answers a request that is not valid HTTP, after those before it on its
   * connection.
   */
  #handleInvalidRequest(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined || error.code !== "ERR_HTTP_REQUEST_TIMEOUT") {
      this.#refuseInvalid(error, socket);
    } else {
      void this.#refuseLate(error, socket, connection);
    }
  }

  /** Node checks the time of a head or body until it is over, and not again. */
  async #refuseLate(
    error: NodeJS.ErrnoException,
    socket: Socket,
    connection: CallerConnection,
  ): Promise<void> {
    const part = await connection.findLatePart(this.#bodyTimeoutMs);
    if (part !== undefined) {
      this.#options.observeLateCaller(part);
      this.#refuseInvalid(error, socket);
    }
  }

  async #closeIdle(socket: Socket): Promise<void> {
    if (await this.#connections.get(socket)?.checkIdle() !== false) {
      socket.destroy();
    }
  }

  #refuseInvalid(error: NodeJS.ErrnoException, socket: Socket): void {
    const requests = this.#connections.get(socket)?.requests;
    if (requests === undefined || error.code === "ECONNRESET") {
      answerInvalidRequest(error, socket);
    } else if (socket.readableEnded && !requests.isIdle) {
      socket.destroy();
    } else {
      requests.closeAfterAll(() => answerInvalidRequest(error, socket));
    }
  }
}

/** Whether only the end of the connection marks the end of the response. */
function isCloseDelimited(
  finalResponse: FinalResponse,
  { useChunkedEncodingByDefault: hasChunks }: ServerResponse,
): boolean {
  if (
    finalResponse.kind !== "answered" ||
    STATUSES_WITHOUT_BODY.has(finalResponse.status)
  ) {
    return false;
  }
  const { isSelfDelimited, stream } = finalResponse;
  // Chunks cannot be sent to a caller that speaks HTTP/1.0.
  const needsChunks = stream !== undefined && stream.length === undefined;
  return !isSelfDelimited || (needsChunks && !hasChunks);
}

/**
 * Releases the body of a request once the target has responded to the end: it
 * may read the body until then.
 */
function releaseAfter(
  finalResponse: FinalResponse | undefined,
  body: RequestBody,
): void {
  const stream = finalResponse?.kind === "answered"
    ? finalResponse.stream
    : undefined;
  if (stream === undefined) {
    body.release();
  } else {
    void stream.ended.then(() => body.release());
  }
}

/** Ends the target's work on a response that can no longer be passed on. */
function cancelStream(finalResponse: FinalResponse): void {
  if (finalResponse.kind === "answered") {
    finalResponse.stream?.cancel("The caller has left");
  }
}

function setTargetHead(
  finalResponse: AnsweredResponse,
  response: ServerResponse,
): void {
  for (const { name, value } of finalResponse.headers) {
    if (!CONNECTION_HEADERS.has(name)) {
      response.appendHeader(name, value);
    }
  }
  response.setHeader(OUTCOME_HEADER, "ran");
  response.statusCode = finalResponse.status;
}

function writeWholeResponse(
  finalResponse: AnsweredResponse,
  response: ServerResponse,
): void {
  setTargetHead(finalResponse, response);
  if (STATUSES_WITHOUT_BODY.has(finalResponse.status)) {
    response.end();
    return;
  }
  if (finalResponse.isSelfDelimited) {
    response.setHeader("Content-Length", finalResponse.body.byteLength);
  } else {
    // The head and the body leave in one system call.
    response.cork();
    writeHeadWithoutLength(response);
  }
  response.end(finalResponse.body);
}

/**
 * Ends a response by closing the caller's connection if the target's connection
 * ended it too. Such a response may be truncated; with a Content-Length, a
 * truncated response would look complete to the caller.
 */
function writeHeadWithoutLength(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.flushHeaders();
}

function writeFailure(
  finalResponse: FinalResponse & { readonly kind: "failed" },
  requestId: string | undefined,
  response: ServerResponse,
): void {
  const { failure: kind, message, retryAfterMs } = finalResponse;
  const { status, ...details } = ERROR_RESPONSES[kind];
  const error = { kind, message, ...details, retryAfterMs, requestId };
  const body = Buffer.from(JSON.stringify({ error }));
  response.setHeader(OUTCOME_HEADER, details.outcome);
  if (requestId !== undefined) {
    response.setHeader(REQUEST_ID_HEADER, requestId);
  }
  response.statusCode = status;
  response.setHeader("Content-Type", "application/json");
  response.setHeader("Content-Length", body.byteLength);
  if (retryAfterMs !== undefined) {
    response.setHeader("Retry-After", (retryAfterMs / 1_000).toFixed(3));
  }
  response.end(body);
}

/** Writes a failure, and closes the connection after it. */
function writeLastFailure(
  finalResponse: FinalResponse & { readonly kind: "failed" },
  requestId: string | undefined,
  response: ServerResponse,
): void {
  response.shouldKeepAlive = false;
  writeFailure(finalResponse, requestId, response);
}

/**
 * Answers a request that is not valid HTTP, if the connection still allows it.
 */
function answerInvalidRequest(
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const status = error.code === "HPE_HEADER_OVERFLOW"
    ? "431 Request Header Fields Too Large"
    : error.code === "ERR_HTTP_REQUEST_TIMEOUT"
    ? "408 Request Timeout"
    : "400 Bad Request";
  socket.write(
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
  // A socket that is only ended would stay as long as its caller writes.
  socket.destroySoon();
}

function listHeaders(rawHeaders: readonly string[]): readonly HeaderField[] {
  const fields: HeaderField[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    fields.push({ name, value: rawHeaders[index + 1]! });
  }
  return fields;
}
