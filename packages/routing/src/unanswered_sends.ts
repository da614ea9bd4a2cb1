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
  /** Another request had ended the target before this one was sent. */
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
  /** Whether a process at the target's address has responded since. */
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
    this.#reportDismissed(kept.slice(0, excess), "table-full");
    this.#byTarget.delete(id);
    this.#byTarget.set(id, kept.slice(excess));
    if (this.#byTarget.size > MAX_TARGETS) {
      const oldest = this.#byTarget.keys().next().value!;
      this.#reportDismissed(this.#byTarget.get(oldest)!, "table-full");
      this.#byTarget.delete(oldest);
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
    for (const [targetId, sends] of this.#byTarget) {
      const [answered, kept] = split(
        sends,
        (send) => send.fingerprint === fingerprint,
      );
      if (answered.length > 0) {
        this.#reportDismissed(answered, "request-answered");
        this.#set(targetId, kept);
      }
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
      const [expired, kept] = split(
        sends,
        ({ atMs }) => nowMs - atMs > RETENTION_MS,
      );
      for (const send of expired) {
        const reason = send.hasRespondedSince ? "target-responded" : "expired";
        this.#reportDismissed([send], reason);
      }
      this.#set(targetId, kept);
    }
  }

  #take(
    targetId: string,
    hasEnded: (send: KeptSend) => boolean,
  ): readonly UnansweredSend[] {
    const sends = this.#byTarget.get(targetId) ?? [];
    const [ended, kept] = split(sends, hasEnded);
    this.#set(targetId, kept);
    return ended;
  }

  #reportDismissed(
    sends: readonly UnansweredSend[],
    reason: DismissalReason,
  ): void {
    sends.forEach((send) => this.#options.onDismissed(send, reason));
  }

  #set(targetId: string, sends: readonly KeptSend[]): void {
    if (sends.length === 0) {
      this.#byTarget.delete(targetId);
    } else {
      this.#byTarget.set(targetId, sends);
    }
  }
}

/** Returns the sends for which the condition holds, and the others. */
function split(
  sends: readonly KeptSend[],
  condition: (send: KeptSend) => boolean,
): readonly [readonly KeptSend[], readonly KeptSend[]] {
  return [
    sends.filter(condition),
    sends.filter((send) => !condition(send)),
  ];
}
