/**
 * Sends forwarded requests to other instances over HTTP. What is proved about a
 * request whose hop fails is the same as for a send to a target: if no byte was
 * written, it has not run; otherwise it may have.
 */
import type { Clock } from "@lentilspur/ports/clock";
import {
  ConnectionPool,
  type PoolFailure,
} from "@lentilspur/transport/connection_pool";
import type { Member } from "../members/members.ts";
import {
  decodeForwardReply,
  encodeForwardedRequest,
  type ForwardedRequest,
  type ForwardReply,
} from "./forwarded_request.ts";

export type HopResult =
  | ForwardReply
  /** The request did not reach the peer. */
  | { readonly kind: "unreached"; readonly message: string }
  /** The peer may have sent the request. */
  | {
    readonly kind: "lost";
    readonly cause: "silent" | "reset" | "cancelled";
    readonly message: string;
  };

export interface ForwardingClient {
  /** Sends a request to a peer; an abort of the signal resets the connection. */
  forward(
    peer: Member,
    request: ForwardedRequest,
    signal: AbortSignal,
  ): Promise<HopResult>;
}

/** Path of forwarded requests on the peers' port. */
export const FORWARD_PATH = "/forward";
/** Instances are reached within some milliseconds, or not at all. */
const CONNECT_TIMEOUT_MS = 250;
/** Below the time after which a peer closes an idle connection. */
const MAX_IDLE_MS = 4_000;
const MAX_CONNECTIONS = 128;
/** A response of a target, as in the adapter, and what is reported of it. */
const MAX_REPLY_BYTES = 17 * 1024 * 1024;
/** A peer has the result of a request no later than this after its deadline. */
const REPLY_MARGIN_MS = 50;
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
    const sent = await this.#getPool(`${peer.host}:${peer.forwardPort}`).send({
      method: "POST",
      path: FORWARD_PATH,
      body: encodeForwardedRequest(request),
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
      cause: "reset",
      message: `The reply of "${peer.instance}" is not valid`,
    };
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

function toHopFailure(failure: PoolFailure): HopResult {
  const { message } = failure;
  if (failure.stage === "opening") {
    return { kind: "unreached", message };
  }
  switch (failure.cause) {
    case "cancelled":
      return { kind: "lost", cause: "cancelled", message };
    case "silent":
      return failure.written
        ? { kind: "lost", cause: "silent", message }
        : { kind: "unreached", message };
    case "reset":
    case "cut":
    case "too-large":
      return failure.written
        ? { kind: "lost", cause: "reset", message }
        : { kind: "unreached", message };
  }
}
