/**
 * Keeps sends that got no response until it is proved whether their target
 * process has ended.
 *
 * A connection breaks for many reasons: an overloaded target resets it, a link
 * fails, a response is lost. So a failed send proves no end, and tells nothing
 * about the sends after it. A target has ended if its store entry is gone for
 * good, if another incarnation or another target is at its address, or if no
 * instance reaches it. All sends that got no response by then may have ended it.
 *
 * A target that answers a later send has not ended, unless its next incarnation
 * has answered: its id may be the same, and its entry may be read later.
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
  /** The target's end had been proved before the request was sent. */
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

interface KeptSend extends UnansweredSend {
  /**
   * Whether a process at the target's address has responded since: the target,
   * or its next incarnation under the same id.
   */
  hasRespondedSince: boolean;
}

/** A send that was answered. */
interface AnsweredSend {
  readonly targetId: string;
  readonly sentAtMs: number;
}

/**
 * Longer than it takes until an ended target is known to have ended where the
 * store is away meanwhile.
 */
const RETENTION_MS = 30_000;
/** More than a target runs and queues at one time. */
const MAX_PER_TARGET = 64;
const MAX_TARGETS = 256;

export class UnansweredSends {
  readonly #options: UnansweredSendsOptions;
  readonly #byTarget = new Map<string, readonly KeptSend[]>();
  /** Number of kept sends by fingerprint. */
  readonly #counts = new Map<string, number>();
  /**
   * The latest answered send of each of the last two targets that answered;
   * recorded only while unanswered sends are kept.
   */
  #answered: readonly AnsweredSend[] = [];

  constructor(options: UnansweredSendsOptions) {
    this.#options = options;
  }

  get isEmpty(): boolean {
    return this.#byTarget.size === 0;
  }

  /** Records an unanswered send to a target that is not known to have ended. */
  record(send: UnansweredSend): void {
    const { target: { id } } = send;
    const sends = this.#byTarget.get(id) ?? [];
    const kept = [...sends, { ...send, hasRespondedSince: false }];
    const excess = Math.max(0, kept.length - MAX_PER_TARGET);
    this.#byTarget.delete(id);
    this.#byTarget.set(id, kept);
    this.#updateCounts([send], 1);
    this.#remove(id, kept.slice(0, excess), "table-full");
    if (this.#byTarget.size > MAX_TARGETS) {
      const oldest = this.#byTarget.keys().next().value!;
      this.#remove(oldest, this.#byTarget.get(oldest)!, "table-full");
    }
  }

  /** Records that the target answered a send that started at `sentAtMs`. */
  recordAnswered(targetId: string, sentAtMs: number): void {
    if (this.isEmpty) {
      return;
    }
    const others = this.#answered.filter((other) =>
      other.targetId !== targetId
    );
    this.#answered = [{ targetId, sentAtMs }, ...others.slice(0, 1)];
    for (const send of this.#byTarget.get(targetId) ?? []) {
      send.hasRespondedSince ||= send.atMs < sentAtMs;
    }
  }

  /** Removes the sends of a request that has got a response. */
  recordRequestAnswered(fingerprint: string): void {
    if (!this.#counts.has(fingerprint)) {
      return;
    }
    for (const [targetId, sends] of this.#byTarget) {
      const answered = sends.filter((send) => send.fingerprint === fingerprint);
      this.#remove(targetId, answered, "request-answered");
    }
  }

  /**
   * Removes and returns the target's unanswered sends after a connection to it
   * could not be opened. A send stays if no other target has answered a later
   * send: this instance's own link may be down.
   */
  takeUnreachable(targetId: string): readonly UnansweredSend[] {
    return this.#take(
      targetId,
      ({ hasRespondedSince, atMs }) =>
        !hasRespondedSince &&
        this.#answered.some((other) =>
          other.targetId !== targetId && other.sentAtMs >= atMs
        ),
    );
  }

  /** Removes and returns the unanswered sends to a target that has ended. */
  takeEnded(targetId: string): readonly UnansweredSend[] {
    return this.#take(targetId, ({ hasRespondedSince }) => !hasRespondedSince);
  }

  /**
   * Removes and returns the unanswered sends to earlier incarnations of a
   * target. Responses since may have been those of the new incarnation.
   */
  takeReplaced({ id, bornMs }: TargetIncarnation): readonly UnansweredSend[] {
    return this.#take(id, ({ target }) => target.bornMs !== bornMs);
  }

  /** Removes sends that have been kept for too long. */
  expire(nowMs: number): void {
    for (const [targetId, sends] of this.#byTarget) {
      const expired = sends.filter(({ atMs }) => nowMs - atMs > RETENTION_MS);
      const isAlive = ({ hasRespondedSince }: KeptSend) => hasRespondedSince;
      const isUnknown = (send: KeptSend) => !isAlive(send);
      this.#remove(targetId, expired.filter(isAlive), "target-responded");
      this.#remove(targetId, expired.filter(isUnknown), "expired");
    }
  }

  #take(
    targetId: string,
    hasEnded: (send: KeptSend) => boolean,
  ): readonly UnansweredSend[] {
    const ended = (this.#byTarget.get(targetId) ?? []).filter(hasEnded);
    this.#remove(targetId, ended);
    return ended;
  }

  /** Removes sends to a target; they do not count if a reason is given. */
  #remove(
    targetId: string,
    removed: readonly KeptSend[],
    reason?: DismissalReason,
  ): void {
    if (removed.length === 0) {
      return;
    }
    const kept = this.#byTarget.get(targetId)!
      .filter((send) => !removed.includes(send));
    if (kept.length === 0) {
      this.#byTarget.delete(targetId);
    } else {
      this.#byTarget.set(targetId, kept);
    }
    this.#updateCounts(removed, -1);
    if (reason !== undefined) {
      removed.forEach((send) => this.#options.onDismissed(send, reason));
    }
  }

  #updateCounts(sends: readonly UnansweredSend[], change: 1 | -1): void {
    for (const { fingerprint } of sends) {
      const count = (this.#counts.get(fingerprint) ?? 0) + change;
      if (count === 0) {
        this.#counts.delete(fingerprint);
      } else {
        this.#counts.set(fingerprint, count);
      }
    }
  }
}
