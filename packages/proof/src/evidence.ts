/**
 * What the oracle judges: decision lines, folded log records, the targets' own
 * histories and what callers received. An audit has mostly the first two; the
 * fuzz and the replay have all four.
 */
import type { ErrorKind, Outcome } from "@lentilspur/outcomes/error_kinds";
import type { Position } from "@lentilspur/outcomes/position";
import type { TargetRun } from "@lentilspur/ports/target_history";
import type { UnitId } from "@lentilspur/state/entries";
import type { DecisionLine } from "./decision_line.ts";

/** One request as the target that ran it wrote it down. */
export interface TargetExecution {
  readonly target: string;
  /** Changes whenever the target's process starts anew. */
  readonly bootId: string;
  /** Order of starts within one boot, without gaps. */
  readonly sequence: number;
  readonly requestId: string;
  readonly clientAccount: string;
  readonly template: string;
  readonly key: string;
  readonly unit: UnitId;
  readonly unitToken: Position;
  readonly stewardToken: Position;
  /** Absent where only the target's own history is at hand. */
  readonly idempotent?: boolean;
  /** The target found before the effect that its grant had lapsed. */
  readonly hadNoEffect?: boolean;
  /** SHA-256 of the whole answer, in hex; absent where none was finished. */
  readonly answerDigest?: string;
  /** Milliseconds on the one clock of a trial; absent in production. */
  readonly startedAtMs?: number;
  readonly endedAtMs?: number;
}

/** What one caller received for one send of a request. */
export interface CallerAnswer {
  readonly requestId: string;
  readonly clientAccount: string;
  readonly template: string;
  readonly key: string;
  readonly idempotent: boolean;
  /** `none` where the connection ended without an answer. */
  readonly outcome: Outcome | "none";
  readonly status?: number;
  /** Set where the answer is the system's own and not the target's. */
  readonly errorKind?: ErrorKind;
  /** SHA-256 of the body received as whole, in hex. */
  readonly answerDigest?: string;
  /** The instance that the caller had reached, where it is known. */
  readonly instance?: string;
  /** Milliseconds on the one clock of a trial; absent in production. */
  readonly sentAtMs?: number;
  readonly receivedAtMs?: number;
}

/**
 * A target's own history as evidence. Times are kept only where the caller
 * vouches that all targets share one clock, as they do in a trial.
 */
export function toExecution(
  run: TargetRun,
  options: {
    readonly hasCommonClock: boolean;
    readonly idempotent?: boolean;
  },
): TargetExecution {
  const { target, bootId, sequence, requestId, clientAccount } = run;
  const { template, key, unit, unitToken, stewardToken } = run;
  const subject = { target, bootId, sequence, requestId, clientAccount };
  const tokens = { template, key, unit, unitToken, stewardToken };
  return {
    ...subject,
    ...tokens,
    ...(options.idempotent === undefined
      ? {}
      : { idempotent: options.idempotent }),
    ...(run.ending === "lapsed" ? { hadNoEffect: true } : {}),
    ...(run.answerDigest === undefined
      ? {}
      : { answerDigest: run.answerDigest }),
    ...(options.hasCommonClock
      ? {
        startedAtMs: run.startedAtMs,
        ...(run.endedAtMs === null ? {} : { endedAtMs: run.endedAtMs }),
      }
      : {}),
  };
}

export type Evidence =
  | { readonly kind: "line"; readonly line: DecisionLine }
  | { readonly kind: "execution"; readonly execution: TargetExecution }
  | { readonly kind: "answer"; readonly answer: CallerAnswer };
