/**
 * Sends that got no answer, until it shows whether their target ended.
 *
 * A connection breaks for many reasons: a full target resets it, a link fails,
 * an answer is lost. A target that answers a later send has not ended; one whose
 * entry goes has, and so has one that nobody listens for any more.
 */
import type { TargetIncarnation } from "./target_incarnation.ts";

export interface UnansweredSend {
  readonly fingerprint: string;
  readonly target: TargetIncarnation;
  readonly sentAtMs: number;
  /** When it broke, or was given up; own clock. */
  readonly atMs: number;
}

/** A send that was answered. */
interface Heard {
  readonly targetId: string;
  readonly sentAtMs: number;
}

/** Entries of targets that have ended go after three heartbeats, some 3 s. */
const VALID_MS = 6_000;
/** More than a target runs and queues. */
const MAX_PER_TARGET = 32;
const MAX_TARGETS = 256;

export class UnansweredSends {
  readonly #byTarget = new Map<string, UnansweredSend[]>();
  /** The last answers of two targets, while any send is broken. */
  #heard: readonly Heard[] = [];

  /** What was sent after the first one broke came to a target that had ended. */
  record(send: UnansweredSend): void {
    const { target: { id }, sentAtMs, atMs } = send;
    const sends = (this.#byTarget.get(id) ?? [])
      .filter((one) => atMs - one.atMs <= VALID_MS);
    if (sends.length > 0 && sentAtMs > sends[0]!.atMs) {
      return;
    }
    this.#byTarget.set(id, [...sends, send].slice(0, MAX_PER_TARGET));
    if (this.#byTarget.size > MAX_TARGETS) {
      this.#byTarget.delete(this.#byTarget.keys().next().value!);
    }
  }

  /** The target has answered what was sent to it at this time. */
  recordAnswered(targetId: string, sentAtMs: number): void {
    if (this.#byTarget.size === 0) {
      return;
    }
    const others = this.#heard.filter((one) => one.targetId !== targetId);
    this.#heard = [{ targetId, sentAtMs }, ...others.slice(0, 1)];
    const sends = this.#byTarget.get(targetId);
    if (sends !== undefined) {
      this.#set(targetId, sends.filter(({ atMs }) => atMs >= sentAtMs));
    }
  }

  /**
   * No connection to the target can be made: gives what broke there. Nothing
   * where no other target has answered since: it may be this instance's link.
   */
  takeUnreachable(targetId: string, nowMs: number): readonly UnansweredSend[] {
    return this.#take(
      targetId,
      nowMs,
      ({ atMs }) =>
        this.#heard.some((one) =>
          one.targetId !== targetId && one.sentAtMs >= atMs
        ),
    );
  }

  /** The target has ended, but for a life that has just begun. */
  takeEnded(
    targetId: string,
    nowMs: number,
    begun?: TargetIncarnation,
  ): readonly UnansweredSend[] {
    return this.#take(
      targetId,
      nowMs,
      ({ target }) => begun === undefined || target.bornMs !== begun.bornMs,
    );
  }

  #take(
    targetId: string,
    nowMs: number,
    hasEnded: (send: UnansweredSend) => boolean,
  ): readonly UnansweredSend[] {
    const sends = (this.#byTarget.get(targetId) ?? [])
      .filter(({ atMs }) => nowMs - atMs <= VALID_MS);
    this.#set(targetId, sends.filter((send) => !hasEnded(send)));
    return sends.filter(hasEnded);
  }

  #set(targetId: string, sends: UnansweredSend[]): void {
    if (sends.length === 0) {
      this.#byTarget.delete(targetId);
    } else {
      this.#byTarget.set(targetId, sends);
    }
  }
}
