/**
 * What an instance says to a target, and what can come back. A target runs a
 * request in one of its 2 places. A checking target runs only what comes under
 * a live grant with its highest fencing token.
 */
import type { Position } from "@lentilspur/outcomes/position";
import type { Result } from "@lentilspur/outcomes/result";

export interface TargetAddress {
  readonly id: string;
  /** `host:port`, by IP number. */
  readonly address: string;
}

export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** One request on its way to a target. */
export interface DispatchRequest {
  readonly requestId: string;
  readonly clientAccount: string;
  readonly key: string;
  /** The unit of ownership that holds the key, such as `s:17` or `k:case-9`. */
  readonly unit: string;
  /** Fencing token of the stewardship under which this is sent. */
  readonly stewardToken: Position;
  /** Fencing token of the unit's ownership. */
  readonly unitToken: Position;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  /** How much longer the caller waits, in milliseconds. */
  readonly remainingMs: number;
  readonly maxAnswerBytes: number;
  /**
   * On the sender's own clock: past it, nothing may be written any more. The
   * sender's lease was held until then when it asked; a process that is paused
   * between asking and writing finds out by this, right before it writes.
   */
  readonly notAfterMs: number;
}

/** A complete answer: a cut one is never given as this. */
export interface TargetAnswer {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

export type DispatchFailure =
  /** Proved not run: no connection, or the target said so before starting. */
  | {
    readonly kind: "not-run";
    readonly cause: "unreachable" | "refused" | "fenced" | "shed" | "draining";
    readonly message: string;
    readonly retryAfterMs?: number;
  }
  /** It may have run. */
  | {
    readonly kind: "unknown";
    readonly cause: "silent" | "reset" | "cut" | "too-large" | "cancelled";
    readonly message: string;
  };

/**
 * Grants for units, all under one steward token; renews those held.
 *
 * A grant ends at a moment of the target's own monotonic clock, as the target
 * last told it. Were it to run from its receipt, a target that thaws after an
 * hour would take up a grant that lay in its socket buffer, together with the
 * requests behind it, while its units have another owner.
 *
 * A checking target checks twice: before it starts a request, and right before
 * the request takes effect, so that one frozen halfway through has none.
 */
export interface GrantRequest {
  readonly stewardToken: Position;
  /** The process this is meant for; any other refuses it. */
  readonly bootId: string;
  /** On the target's own monotonic clock: its `elapsedMs` plus the grant's life. */
  readonly validUntilMs: number;
  readonly add: readonly GrantedUnit[];
  /** Units that the target gives up. */
  readonly remove: readonly string[];
  /**
   * All keys that the target must not serve under their shard, since they have
   * units of their own elsewhere; null where the list has not changed. Were
   * they not named, a request for such a key that came under its shard could
   * take effect after the key has another owner.
   */
  readonly excludedKeys: readonly string[] | null;
}

export interface GrantedUnit {
  readonly unit: string;
  readonly token: Position;
}

export interface GrantReply {
  /** Changes whenever the target's process starts anew. */
  readonly bootId: string;
  /** The target's own monotonic clock, read while it made this reply. */
  readonly elapsedMs: number;
  /**
   * Units that the target still works on although they were removed; a key's
   * unit is busy while any request for that key runs.
   */
  readonly busyUnits: readonly string[];
}

/** What a target says of itself; late or wrong at times. */
export interface TargetReport {
  readonly bootId: string;
  /** The target's own monotonic clock, read while it made this report. */
  readonly elapsedMs: number;
  readonly state: "warming" | "live" | "leaving";
  readonly runningRequests: number;
  readonly places: number;
}

export type TargetFailure =
  | { readonly kind: "fenced"; readonly highestToken: Position }
  /** The grant named another process: the target has started anew. */
  | { readonly kind: "restarted"; readonly bootId: string }
  /** Nothing listens there: the process has ended or never started. */
  | { readonly kind: "refused"; readonly message: string }
  | { readonly kind: "silent"; readonly message: string }
  | { readonly kind: "unsupported"; readonly message: string };

export interface TargetPort {
  dispatch(
    target: TargetAddress,
    request: DispatchRequest,
    signal: AbortSignal,
  ): Promise<Result<TargetAnswer, DispatchFailure>>;
  grant(
    target: TargetAddress,
    request: GrantRequest,
  ): Promise<Result<GrantReply, TargetFailure>>;
  probe(target: TargetAddress): Promise<Result<TargetReport, TargetFailure>>;
  /** Asks the target to stop working on a request; best effort. */
  cancel(target: TargetAddress, requestId: string): Promise<void>;
}
