/**
 * One line for each routing or placement decision. The lines, together with
 * the exported log, are what an audit has to go on years later, so they carry
 * names, tokens and outcomes, and never a body or a credential.
 */
import type { ErrorKind, Outcome } from "@lentilspur/outcomes/error_kinds";
import type { Position } from "@lentilspur/outcomes/position";
import type { MoveReason, UnitId } from "@lentilspur/state/entries";

/** What every request decision names. */
export interface RequestSubject {
  readonly requestId: string;
  readonly clientAccount: string;
  readonly template: string;
  readonly key: string;
  readonly idempotent: boolean;
}

export type Decision =
  /** The entry chose the steward to pass a request to. */
  | RequestSubject & {
    readonly decision: "request-routed";
    readonly unit: UnitId;
    readonly target: string;
    readonly steward: string;
    readonly firstSend: boolean;
  }
  /** The steward is about to send a request to its target. */
  | RequestSubject & {
    readonly decision: "request-dispatched";
    readonly unit: UnitId;
    readonly target: string;
    readonly stewardToken: Position;
    readonly unitToken: Position;
    readonly attempt: number;
    readonly queuedMs: number;
  }
  /** The steward knows what became of one dispatch. */
  | RequestSubject & {
    readonly decision: "request-settled";
    readonly unit: UnitId;
    readonly target: string;
    readonly attempt: number;
    readonly outcome: Outcome;
    /** The target's status, where it answered. */
    readonly status?: number;
    readonly cause?: string;
    readonly tookMs: number;
  }
  /** The entry gave the caller its answer. */
  | RequestSubject & {
    readonly decision: "request-answered";
    readonly outcome: Outcome;
    readonly status: number;
    readonly errorKind?: ErrorKind;
    /** Which limit refused it, and whose. */
    readonly limit?: string;
    readonly retryAfterMs?: number;
    readonly tookMs: number;
  }
  /** The steward answered a resend from memory, or could not. */
  | RequestSubject & {
    readonly decision: "resend-recognised";
    readonly unit: UnitId;
    readonly memory: "answered" | "joined" | "not-remembered";
  }
  | {
    readonly decision: "move-proposed";
    readonly template: string;
    readonly unit: UnitId;
    readonly from: string;
    readonly to: string;
    readonly reason: MoveReason;
    readonly why: string;
  }
  | {
    readonly decision: "move-released";
    readonly template: string;
    readonly unit: UnitId;
    readonly from: string;
    readonly to: string;
    readonly moveToken: Position;
    readonly drainedMs: number;
  }
  | {
    readonly decision: "grant-sent";
    readonly target: string;
    readonly stewardToken: Position;
    readonly added: readonly UnitId[];
    readonly removed: readonly UnitId[];
    readonly ttlMs: number;
    readonly accepted: boolean;
  }
  | {
    readonly decision: "target-declared-lost";
    readonly target: string;
    readonly evidence: string;
    readonly waitedMs: number;
  }
  | {
    readonly decision: "instance-taken-over";
    readonly lost: string;
    readonly consented: readonly string[];
    readonly waitedOut: readonly string[];
    readonly targets: readonly string[];
  }
  | {
    readonly decision: "lease-changed";
    readonly state: "held" | "lost";
    readonly why: string;
  }
  | {
    readonly decision: "stewardship-changed";
    readonly target: string;
    readonly state: "taken-up" | "handed-over" | "given-up";
    readonly stewardToken: Position;
  }
  | {
    readonly decision: "configuration-in-force";
    readonly version: number;
    readonly position: Position;
  };

/** A decision as it is written: who, in which order, knowing how much. */
export type DecisionLine = Decision & {
  readonly instance: string;
  /** Grows by one with each line of an instance; a gap shows a lost line. */
  readonly sequence: number;
  /** The instance's monotonic clock, milliseconds; orders its own lines only. */
  readonly elapsedMs: number;
  /** Wall clock, for people; no check relies on it. */
  readonly time: string;
  /** The next log offset that the instance would fold. */
  readonly foldedOffset: number;
};

/** Where decisions go; the instance passes one that fills in the rest. */
export interface DecisionSink {
  log(decision: Decision): void;
}
