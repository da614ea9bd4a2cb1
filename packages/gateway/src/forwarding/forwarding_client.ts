/**
 * Sends forwarded requests to other instances over HTTP. What is proved about a
 * request whose hop fails is the same as for a send to a target: if no byte was
 * written, it has not run; otherwise it may have.
 */
import { randomUUID } from "node:crypto";
import type { Clock } from "@lentilspur/ports/clock";
import type { ConnectionTrace } from "@lentilspur/ports/connection_trace";
import type { NotRunProof } from "@lentilspur/ports/request_sender";
import {
  ConnectionPool,
  type PoolFailure,
} from "@lentilspur/transport/connection_pool";
import type {
  HttpRequest,
  ResponseHead,
  ResponseVerdict,
} from "@lentilspur/transport/http_exchange";
import type { Member } from "../members/members.ts";
import {
  decodeForwardReply,
  encodeForwardedRequest,
  type ForwardedRequest,
  type ForwardReply,
  parseReachAnswer,
  type ReachAnswer,
  type ReachQuery,
} from "./forwarded_request.ts";

export type HopResult =
  | ForwardReply
  /** The request did not reach the peer. */
  | {
    readonly kind: "unreached";
    readonly proof: Extract<NotRunProof, "no-connection" | "nothing-written">;
    readonly message: string;
  }
  /** The peer may have sent the request. */
  | {
    readonly kind: "lost";
    readonly cause: "silent" | "reset" | "cancelled" | "garbled";
    readonly message: string;
    /** The connection to the peer, if the request was sent on one. */
    readonly trace?: ConnectionTrace;
  };

export interface ForwardingClient {
  /** Sends a request to a peer; an abort of the signal resets the connection. */
  forward(
    peer: Member,
    request: ForwardedRequest,
    signal: AbortSignal,
  ): Promise<HopResult>;
  /** Asks a peer whether it reaches a target. Never rejects. */
  fetchReachability(peer: Member, query: ReachQuery): Promise<ReachAnswer>;
}

/** Paths of forwarded requests and of queries on the peers' port. */
export const FORWARD_PATH = "/forward";
export const REACH_PATH = "/reach";
/** Identifies one message; a peer returns it with its reply. */
export const MESSAGE_ID_HEADER = "lentilspur-message-id";
/** Instances are reached within some milliseconds, or not at all. */
const CONNECT_TIMEOUT_MS = 250;
/** Below the time after which a peer closes an idle connection. */
const MAX_IDLE_MS = 4_000;
const MAX_CONNECTIONS = 128;
/** A response of a target, as in the adapter, and what is reported of it. */
const MAX_REPLY_BYTES = 17 * 1024 * 1024;
/** A peer has the result of a request no later than this after its deadline. */
const REPLY_MARGIN_MS = 50;
/** Longer than the probe that the peer makes. */
const REACH_TIMEOUT_MS = 1_200;
const MAX_REACH_BYTES = 64;
const OK_STATUS = 200;

export class HttpForwardingClient implements ForwardingClient {
  readonly #clock: Clock;
  /** By address. */
  readonly #pools = new Map<string, ConnectionPool>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  async forward(
    peer: Member,
    request: ForwardedRequest,
    signal: AbortSignal,
  ): Promise<HopResult> {
    const createdAtMs = this.#clock.readMs();
    const sent = await this.#getPool(`${peer.host}:${peer.forwardPort}`).send({
      ...createMessage(FORWARD_PATH),
      createBody: () =>
        encodeForwardedRequest(
          advanceTimes(request, this.#clock.readMs() - createdAtMs),
        ),
      timeoutMs: Math.max(1, request.remainingMs) + REPLY_MARGIN_MS,
      maxResponseBytes: MAX_REPLY_BYTES,
      signal,
    });
    if (!sent.ok) {
      return toHopFailure(sent.val);
    }
    const reply = sent.val.status === OK_STATUS
      ? decodeForwardReply(sent.val.body)
      : undefined;
    return reply ?? {
      kind: "lost",
      cause: "garbled",
      message: `The reply of "${peer.instance}" is not valid`,
      trace: sent.val.trace,
    };
  }

  async fetchReachability(
    peer: Member,
    query: ReachQuery,
  ): Promise<ReachAnswer> {
    const sent = await this.#getPool(`${peer.host}:${peer.forwardPort}`).send({
      ...createMessage(REACH_PATH),
      body: Buffer.from(JSON.stringify(query)),
      timeoutMs: REACH_TIMEOUT_MS,
      maxResponseBytes: MAX_REACH_BYTES,
    });
    return sent.ok
      ? parseReachAnswer(Buffer.from(sent.val.body).toString("utf8"))
      : "unknown";
  }

  close(): void {
    this.#pools.forEach((pool) => pool.close());
  }

  #getPool(address: string): ConnectionPool {
    let pool = this.#pools.get(address);
    if (pool === undefined) {
      pool = new ConnectionPool(address, {
        clock: this.#clock,
        maxConnections: MAX_CONNECTIONS,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        maxIdleMs: MAX_IDLE_MS,
      });
      this.#pools.set(address, pool);
    }
    return pool;
  }
}

function createMessage(
  path: string,
): Pick<HttpRequest, "method" | "path" | "headers" | "checkResponse"> {
  const id = randomUUID();
  return {
    method: "POST",
    path,
    headers: [{ name: MESSAGE_ID_HEADER, value: id }],
    checkResponse: (head) => checkReply(head, id),
  };
}

/**
 * Earlier versions return no id with their replies. A head with two ids is a
 * truncated one that runs into that of another reply.
 */
function checkReply({ headers }: ResponseHead, id: string): ResponseVerdict {
  const returned = headers.filter(({ name }) => name === MESSAGE_ID_HEADER);
  return returned.every(({ value }) => value === id) ? "own" : "foreign";
}

/** Deducts the time that passed until a connection was open. */
function advanceTimes(
  request: ForwardedRequest,
  passedMs: number,
): ForwardedRequest {
  return {
    ...request,
    remainingMs: request.remainingMs - passedMs,
    elapsedMs: request.elapsedMs + passedMs,
  };
}

function toHopFailure(failure: PoolFailure): HopResult {
  const { message } = failure;
  if (failure.stage === "opening") {
    return { kind: "unreached", proof: "no-connection", message };
  }
  const { cause, written, trace } = failure;
  if (!written && cause !== "cancelled") {
    return { kind: "unreached", proof: "nothing-written", message };
  }
  switch (cause) {
    case "cancelled":
    case "silent":
      return { kind: "lost", cause, message, trace };
    case "reset":
    case "cut":
      return { kind: "lost", cause: "reset", message, trace };
    case "too-large":
    case "malformed":
    case "foreign":
      return { kind: "lost", cause: "garbled", message, trace };
  }
}
