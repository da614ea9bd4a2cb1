/** Receives the requests that other instances forward to this one. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { Clock } from "@lentilspur/ports/clock";
import { closeIdleConnections } from "../entry/idle_connections.ts";
import { openListener } from "../entry/open_listener.ts";
import type {
  BodyFailure,
  RequestBodies,
  RequestBody,
} from "../entry/request_bodies.ts";
import {
  decodeForwardedRequest,
  encodeForwardReply,
  type ForwardedRequest,
  type ForwardReply,
  parseReachQuery,
  type ReachAnswer,
  type ReachQuery,
} from "./forwarded_request.ts";
import {
  FORWARD_PATH,
  MESSAGE_ID_HEADER,
  REACH_PATH,
} from "./forwarding_client.ts";

export interface ForwardingServerOptions {
  readonly clock: Clock;
  readonly host: string;
  readonly port: number;
  /** How long this process has just been stalled; 0 if it was not. */
  readonly readStallMs: () => number;
  readonly bodies: RequestBodies;
  readonly handle: (
    request: ForwardedRequest,
    options: { readonly receivedAtMs: number; readonly signal: AbortSignal },
  ) => Promise<ForwardReply>;
  readonly answerReach: (query: ReachQuery) => Promise<ReachAnswer>;
  readonly reportFault: (message: string) => void;
}

/** Longer than a peer keeps an idle connection for reuse. */
const IDLE_TIMEOUT_MS = 10_000;
const NOT_FOUND = 404;
/** The largest body that an entry accepts, and what is told of its request. */
const MAX_REQUEST_BYTES = 65 * 1024 * 1024;
const MAX_QUERY_BYTES = 64 * 1024;

export class ForwardingServer {
  readonly #options: ForwardingServerOptions;
  readonly #server: Server;
  #openRequests = 0;

  constructor(options: ForwardingServerOptions) {
    this.#options = options;
    this.#server = createServer(
      { keepAliveTimeout: IDLE_TIMEOUT_MS, noDelay: true },
      (message, response) => void this.#handle(message, response),
    );
    closeIdleConnections(this.#server);
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Number of forwarded requests that are not answered yet. */
  get openRequests(): number {
    return this.#openRequests;
  }

  open(): Promise<void> {
    return openListener(this.#server, this.#options);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const messageId = message.headers[MESSAGE_ID_HEADER];
    if (messageId !== undefined) {
      response.setHeader(MESSAGE_ID_HEADER, messageId);
    }
    switch (message.url) {
      case FORWARD_PATH:
        return await this.#handleRequest(message, response);
      case REACH_PATH:
        return await this.#handleReach(message, response);
      case undefined:
      default:
        response.writeHead(NOT_FOUND).end();
    }
  }

  async #handleReach(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { answerReach, reportFault } = this.#options;
    try {
      const bytes = await readBody(message, MAX_QUERY_BYTES);
      const query = parseReachQuery(bytes.toString("utf8"));
      response.end(
        query === undefined ? "unknown" : await answerReach(query),
      );
    } catch (error) {
      reportFault(`A reach query was not read: ${String(error)}`);
      response.destroy();
    }
  }

  async #handleRequest(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { clock, bodies, readStallMs, reportFault } = this.#options;
    // A request that is read after a stall may have arrived at its beginning.
    const receivedAtMs = clock.readMs() - readStallMs();
    const controller = new AbortController();
    response.on("close", () => {
      this.#openRequests--;
      controller.abort();
    });
    this.#openRequests++;
    const body = bodies.open(message, MAX_REQUEST_BYTES);
    try {
      const result = await body.result;
      if (result.ok) {
        const { signal } = controller;
        const reply = await this.#handleBody(body, { receivedAtMs, signal });
        writeReply(response, reply);
      } else if (result.failure.kind === "overloaded") {
        // The rest of the body would be read as a message.
        response.setHeader("Connection", "close");
        writeReply(response, { kind: "unable", reason: "memory" });
      } else {
        throw new Error(describeFailure(result.failure));
      }
    } catch (error) {
      // The sender has closed the connection or sends without end.
      reportFault(`A forwarded request was not read: ${String(error)}`);
      response.destroy();
    } finally {
      body.release();
    }
  }

  #handleBody(
    body: RequestBody,
    options: Parameters<ForwardingServerOptions["handle"]>[1],
  ): Promise<ForwardReply> {
    const request = decodeForwardedRequest(body.take());
    return request === undefined
      ? Promise.resolve({ kind: "unable", reason: "malformed" })
      : this.#options.handle(request, options);
  }
}

function describeFailure({ kind }: BodyFailure): string {
  return kind === "body-too-large"
    ? `The body is larger than ${MAX_REQUEST_BYTES} bytes`
    : "The sender has closed the connection";
}

function writeReply(response: ServerResponse, reply: ForwardReply): void {
  const bytes = encodeForwardReply(reply);
  response.setHeader("Content-Length", bytes.byteLength);
  response.end(bytes);
}

/** Rejects if the sender closes the connection or the body is too large. */
async function readBody(
  message: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of message) {
    size += chunk.byteLength;
    if (size > maxBytes) {
      throw new Error(`The body is larger than ${maxBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, size);
}
