/**
 * What a target says it ran. Targets that can be asked for it let anyone check
 * from outside that a request ran once, and under whose token.
 */
import type { Position } from "@lentilspur/outcomes/position";

/** How a run ended. */
export type RunEnding =
  | "running"
  /** It ran to its end and had its effect. */
  | "done"
  /** Cancelled, or past its deadline; it may have had part of its effect. */
  | "cancelled"
  /** The target's process ended; it may have had part of its effect. */
  | "killed"
  /**
   * A checking target found before the effect that the grant had lapsed, as
   * after a freeze: no effect. `endedAtMs` is when the grant lapsed.
   */
  | "lapsed";

/** One request that a target started. */
export interface TargetRun {
  readonly target: string;
  readonly template: string;
  readonly bootId: string;
  /** Order of starts within one boot, without gaps. */
  readonly sequence: number;
  readonly method: string;
  readonly requestId: string;
  readonly clientAccount: string;
  readonly key: string;
  readonly unit: string;
  readonly stewardToken: Position;
  readonly unitToken: Position;
  /** On the target's own monotonic clock. */
  readonly startedAtMs: number;
  /** Null while it runs. */
  readonly endedAtMs: number | null;
  readonly ending: RunEnding;
  /** SHA-256 of the whole answer, in hex; absent where none was made. */
  readonly answerDigest?: string;
}
