/**
 * Targets that hold keys, in virtual time: they check tokens, let holds run
 * out, answer late or never, and carry out late what they left unanswered. They
 * keep a history by which a test judges whether a key ever had two holders.
 */
import type { Clock } from "./clock.ts";
import {
  type GrantOrder,
  hasOverlap,
  type KeyOrderSender,
  type KeyRange,
  type OrderOutcome,
  type OrderReceiver,
  type ReleaseOrder,
} from "./key_orders.ts";

export type HolderFaultMode =
  | "answering"
  /** Orders neither arrive nor fail at once. */
  | "unreachable"
  /** No connection opens: not a byte of an order leaves its sender. */
  | "unconnectable"
  /** Grants take effect some seconds after they came, unanswered. */
  | "late";

/** A span in which a target held keys. */
export interface HoldInterval extends KeyRange {
  readonly targetId: string;
  /** Which start of the target held them. */
  readonly incarnation: number;
  readonly token: number;
  readonly fromMs: number;
  untilMs: number;
}

export interface ReceivedOrder extends KeyRange {
  readonly kind: "grant" | "release";
  readonly targetId: string;
  readonly token: number;
  readonly atMs: number;
}

interface Session {
  readonly number: number;
  readonly life: number;
}

const TRAVEL_MS = 1;
const TIMEOUT_MS = 400;
const CONNECT_MS = 250;
/** Work that runs on released keys ends after this. */
const WORK_MS = 60;

export class FakeKeyHolders {
  readonly holdIntervals: HoldInterval[] = [];
  readonly orders: ReceivedOrder[] = [];
  readonly #clock: Clock;
  readonly #faultModes = new Map<string, HolderFaultMode>();
  readonly #highest = new Map<string, (KeyRange & { token: number })[]>();
  readonly #ended = new Set<string>();
  readonly #lives = new Map<string, number>();
  #lateMs = 6_000;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  setFaultMode(targetId: string, mood: HolderFaultMode): void {
    this.#faultModes.set(targetId, mood);
  }

  /** How long after its arrival an unanswered grant is carried out. */
  setLateGrantDelayMs(lateMs: number): void {
    this.#lateMs = lateMs;
  }

  /** `canReach` says whether this sender's orders reach a target. */
  createClient(
    canReach: (targetId: string) => boolean = () => true,
  ): KeyOrderSender {
    const sessions = new Map<string, Session>();
    const getSession = (id: string) => this.#updateSession(sessions, id);
    const breakSession = (id: string, outcome: OrderOutcome) => {
      if (outcome.kind === "unanswered") {
        sessions.set(id, {
          number: getSession(id) + 1,
          life: this.#getLife(id),
        });
      }
      return outcome;
    };
    return {
      getSession: ({ id }) => getSession(id),
      grant: async (to, order, session) =>
        session === getSession(to.id)
          ? breakSession(to.id, await this.#grant(to, order, canReach))
          : { kind: "session-over", message: "Another session is open" },
      release: async (from, order) =>
        breakSession(from.id, await this.#release(from, order, canReach)),
    };
  }

  /** The target starts again under its id: it holds and knows nothing. */
  restart(targetId: string): void {
    this.#expireSpans(targetId);
    this.#highest.delete(targetId);
    this.#lives.set(targetId, this.#getLife(targetId) + 1);
  }

  /** Connections end with the process, which ends the session. */
  #updateSession(sessions: Map<string, Session>, id: string): number {
    const life = this.#getLife(id);
    const known = sessions.get(id) ?? { number: 1, life };
    const number = known.life === life ? known.number : known.number + 1;
    sessions.set(id, { number, life });
    return number;
  }

  #getLife(targetId: string): number {
    return this.#lives.get(targetId) ?? 1;
  }

  /** The process ends: it holds nothing from now on and answers no more. */
  kill(targetId: string): void {
    this.#ended.add(targetId);
    this.#expireSpans(targetId);
  }

  #expireSpans(targetId: string): void {
    const nowMs = this.#clock.readMs();
    for (const span of this.holdIntervals) {
      if (span.targetId === targetId) {
        span.untilMs = Math.min(span.untilMs, nowMs);
      }
    }
  }

  /** Holders that got a key with a token not above those of others before. */
  listStaleTokens(): readonly string[] {
    return this.holdIntervals.flatMap((span, index) =>
      this.holdIntervals.slice(0, index)
        .filter((earlier) =>
          (earlier.targetId !== span.targetId ||
            earlier.incarnation !== span.incarnation) &&
          hasOverlap(earlier, span) && earlier.token >= span.token
        )
        .map((earlier) =>
          `${span.targetId}:${span.token} after ${earlier.targetId}:${earlier.token}`
        )
    );
  }

  /** Pairs of targets that held a key at one time. */
  listOverlaps(): readonly string[] {
    const overlaps: string[] = [];
    for (const [index, left] of this.holdIntervals.entries()) {
      for (const right of this.holdIntervals.slice(index + 1)) {
        if (
          left.targetId !== right.targetId && hasOverlap(left, right) &&
          left.fromMs < right.untilMs &&
          right.fromMs < left.untilMs
        ) {
          overlaps.push(
            `${left.targetId} and ${right.targetId} at ${right.fromMs}`,
          );
        }
      }
    }
    return overlaps;
  }

  /** Who holds a key now. */
  findHolder(key: number): string | undefined {
    const nowMs = this.#clock.readMs();
    return this.holdIntervals.find((span) =>
      span.from <= key && key <= span.to && span.untilMs > nowMs
    )?.targetId;
  }

  async #grant(
    to: OrderReceiver,
    order: GrantOrder,
    canReach: (targetId: string) => boolean,
  ): Promise<OrderOutcome> {
    const mood = this.#getMood(to.id);
    if (mood === "unconnectable") {
      return await this.#failConnection();
    }
    if (mood === "unreachable" || !canReach(to.id)) {
      return await this.#failOrder();
    }
    if (!await this.#waitForArrival(to.id)) {
      return await this.#failOrder();
    }
    const arrivedAtMs = this.#clock.readMs();
    this.#recordOrder("grant", to.id, order);
    if (mood === "late") {
      void this.#grantLate(to, order, arrivedAtMs);
      return await this.#failOrder();
    }
    if (this.#hasSeenHigher(to.id, order)) {
      return { kind: "superseded" };
    }
    this.#recordHold(to.id, order, arrivedAtMs);
    return { kind: "done" };
  }

  /**
   * False where the process that the order was sent to ends meanwhile: its
   * connection ends with it, so neither it nor a later life gets the order.
   */
  async #waitForArrival(targetId: string): Promise<boolean> {
    const life = this.#getLife(targetId);
    await this.#clock.sleep(TRAVEL_MS);
    return !this.#ended.has(targetId) && this.#getLife(targetId) === life;
  }

  /** A process that has ended stays so, whatever is set for it afterwards. */
  #getMood(targetId: string): HolderFaultMode {
    return this.#ended.has(targetId)
      ? "unreachable"
      : this.#faultModes.get(targetId) ?? "answering";
  }

  async #grantLate(
    to: OrderReceiver,
    order: GrantOrder,
    arrivedAtMs: number,
  ): Promise<void> {
    const life = this.#getLife(to.id);
    await this.#clock.sleep(this.#lateMs);
    // Carried out whatever came in between; its time counts from its arrival.
    if (
      !this.#ended.has(to.id) && this.#getLife(to.id) === life &&
      this.#clock.readMs() < arrivedAtMs + order.holdMs
    ) {
      this.#recordHold(to.id, order, arrivedAtMs);
    }
  }

  async #release(
    from: OrderReceiver,
    order: ReleaseOrder,
    canReach: (targetId: string) => boolean,
  ): Promise<OrderOutcome> {
    const mood = this.#getMood(from.id);
    if (mood === "unconnectable") {
      return await this.#failConnection();
    }
    if (mood === "unreachable" || !canReach(from.id)) {
      return await this.#failOrder();
    }
    if (!await this.#waitForArrival(from.id)) {
      return await this.#failOrder();
    }
    this.#recordOrder("release", from.id, order);
    this.#addSeen(from.id, order);
    this.#expireHolds(from.id, order);
    await this.#clock.sleep(WORK_MS);
    return { kind: "done", handover: `handover-${from.id}` };
  }

  async #failConnection(): Promise<OrderOutcome> {
    await this.#clock.sleep(CONNECT_MS);
    return { kind: "unsent", message: "No connection" };
  }

  async #failOrder(): Promise<OrderOutcome> {
    await this.#clock.sleep(TIMEOUT_MS);
    return { kind: "unanswered", message: "No answer" };
  }

  #recordOrder(
    kind: ReceivedOrder["kind"],
    targetId: string,
    order: KeyRange & { readonly token: number },
  ): void {
    const { from, to, token } = order;
    const atMs = this.#clock.readMs();
    this.orders.push({ kind, targetId, from, to, token, atMs });
  }

  #recordHold(targetId: string, order: GrantOrder, arrivedAtMs: number): void {
    const nowMs = this.#clock.readMs();
    this.#addSeen(targetId, order);
    this.#expireHolds(targetId, order);
    this.holdIntervals.push({
      targetId,
      incarnation: this.#getLife(targetId),
      from: order.from,
      to: order.to,
      token: order.token,
      fromMs: nowMs,
      untilMs: arrivedAtMs + order.holdMs,
    });
  }

  /** A renewal takes the place of the hold before; what is left of it goes on. */
  #expireHolds(targetId: string, range: KeyRange): void {
    const nowMs = this.#clock.readMs();
    for (const span of [...this.holdIntervals]) {
      if (
        span.targetId !== targetId || span.untilMs <= nowMs ||
        span.from > range.to || span.to < range.from
      ) {
        continue;
      }
      if (span.from < range.from) {
        this.holdIntervals.push({ ...span, to: range.from - 1, fromMs: nowMs });
      }
      if (span.to > range.to) {
        this.holdIntervals.push({ ...span, from: range.to + 1, fromMs: nowMs });
      }
      span.untilMs = nowMs;
    }
  }

  #addSeen(targetId: string, order: KeyRange & { token: number }): void {
    const seen = this.#highest.get(targetId) ?? [];
    const { from, to, token } = order;
    this.#highest.set(targetId, [...seen, { from, to, token }]);
  }

  #hasSeenHigher(
    targetId: string,
    order: KeyRange & { token: number },
  ): boolean {
    return (this.#highest.get(targetId) ?? []).some((seen) =>
      hasOverlap(seen, order) &&
      seen.token > order.token
    );
  }
}
