/**
 * Keeps sends that got no response until it is known whether their target
 * process has ended.
 *
 * A connection breaks for many reasons: an overloaded target resets it, a link
 * fails, a response is lost. A target that answers a later send has not ended.
 * A target has ended if its store entry is removed, or if nothing listens at
 * its address any more.
 */
import type { TargetIncarnation } from "./target_incarnation.ts";

export interface UnansweredSend {
  readonly fingerprint: string;
  readonly requestId: string;
  readonly target: TargetIncarnation;
  readonly sentAtMs: number;
  /** When the send failed or timed out; this instance's clock. */
  readonly atMs: number;
}

/** Why an unanswered send does not count as a crash of its target. */
export type DismissalReason =
  /** The target responded to a later send. */
  | "target-responded"
  /** The request got a response after the failure. */
  | "request-answered"
  /** The target had ended before the request was sent. */
  | "target-had-ended"
  /** The target had announced that it leaves. */
  | "target-left"
  /** Whether the target has ended was not known in time. */
  | "expired"
  /** Too many others are kept. */
  | "table-full";

export interface UnansweredSendsOptions {
  readonly onDismissed: (send: UnansweredSend, reason: DismissalReason) => void;
}

/** A send that was answered. */
interface AnsweredSend {
  readonly targetId: string;
  readonly sentAtMs: number;
}

/**
 * Longer than it takes until the store entry of an ended target is removed,
 * which is after three missed heartbeats (about 3 s).
 */
const RETENTION_MS = 6_000;
/** More than a target runs and queues at one time. */
const MAX_PER_TARGET = 32;
const MAX_TARGETS = 256;

export class UnansweredSends {
  readonly #options: UnansweredSendsOptions;
  readonly #byTarget = new Map<string, UnansweredSend[]>();
  /**
   * The latest answered send of each of the last two targets that answered;
   * recorded only while unanswered sends are kept.
   */
  #answered: readonly AnsweredSend[] = [];

  constructor(options: UnansweredSendsOptions) {
    this.#options = options;
  }

  /**
   * Records an unanswered send. Ignores a send that started after the target's
   * first recorded failure: the target had ended by then, so that send cannot
   * have ended it.
   */
  record(send: UnansweredSend): void {
    const { target: { id }, sentAtMs, atMs } = send;
    const sends = this.#listRecent(id, atMs);
    if (sends.length > 0 && sentAtMs > sends[0]!.atMs) {
      this.#options.onDismissed(send, "target-had-ended");
      return;
    }
    if (sends.length < MAX_PER_TARGET) {
      this.#byTarget.set(id, [...sends, send]);
    } else {
      this.#options.onDismissed(send, "table-full");
    }
    if (this.#byTarget.size > MAX_TARGETS) {
      const [oldest] = this.#byTarget.keys();
      this.#reportDismissed(this.#byTarget.get(oldest!)!, "table-full");
      this.#byTarget.delete(oldest!);
    }
  }

  /** Records that the target answered a send that started at `sentAtMs`. */
  recordAnswered(targetId: string, sentAtMs: number): void {
    if (this.#byTarget.size === 0) {
      return;
    }
    const others = this.#answered.filter((other) =>
      other.targetId !== targetId
    );
    this.#answered = [{ targetId, sentAtMs }, ...others.slice(0, 1)];
    const sends = this.#byTarget.get(targetId);
    if (sends !== undefined) {
      this.#reportDismissed(
        sends.filter(({ atMs }) => atMs < sentAtMs),
        "target-responded",
      );
      this.#set(targetId, sends.filter(({ atMs }) => atMs >= sentAtMs));
    }
  }

  /**
   * Removes and returns the target's unanswered sends after a connection to it
   * could not be opened. A send stays if no other target has answered a later
   * send: this instance's own link may be down.
   */
  takeUnreachable(targetId: string, nowMs: number): readonly UnansweredSend[] {
    return this.#take(
      targetId,
      nowMs,
      ({ atMs }) =>
        this.#answered.some((other) =>
          other.targetId !== targetId && other.sentAtMs >= atMs
        ),
    );
  }

  /**
   * Removes and returns the target's unanswered sends after the target has
   * ended, except those to `newIncarnation`, which has just started.
   */
  takeEnded(
    targetId: string,
    nowMs: number,
    newIncarnation?: TargetIncarnation,
  ): readonly UnansweredSend[] {
    return this.#take(
      targetId,
      nowMs,
      ({ target }) =>
        newIncarnation === undefined || target.bornMs !== newIncarnation.bornMs,
    );
  }

  #take(
    targetId: string,
    nowMs: number,
    hasEnded: (send: UnansweredSend) => boolean,
  ): readonly UnansweredSend[] {
    const sends = this.#listRecent(targetId, nowMs);
    this.#set(targetId, sends.filter((send) => !hasEnded(send)));
    return sends.filter(hasEnded);
  }

  /** Lists the unanswered sends of a target, and dismisses the expired ones. */
  #listRecent(targetId: string, nowMs: number): readonly UnansweredSend[] {
    const sends = this.#byTarget.get(targetId) ?? [];
    const isRecent = ({ atMs }: UnansweredSend) => nowMs - atMs <= RETENTION_MS;
    this.#reportDismissed(sends.filter((send) => !isRecent(send)), "expired");
    return sends.filter(isRecent);
  }

  #reportDismissed(
    sends: readonly UnansweredSend[],
    reason: DismissalReason,
  ): void {
    sends.forEach((send) => this.#options.onDismissed(send, reason));
  }

  #set(targetId: string, sends: UnansweredSend[]): void {
    if (sends.length === 0) {
      this.#byTarget.delete(targetId);
    } else {
      this.#byTarget.set(targetId, sends);
    }
  }
}
