/**
 * Simulates targets that hold keys, in virtual time: they check tokens, let
 * holds expire, respond late or never, and may apply an unanswered order later.
 * Records every hold, so that a test can check that no key ever had two
 * holders.
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
  /** Orders do not arrive, and fail only after a timeout. */
  | "unreachable"
  /** No connection opens, so no byte of an order is sent. */
  | "unconnectable"
  /** Grants get no response and take effect seconds after they arrive. */
  | "late";

/** An interval in which a target held a key range. */
export interface HoldInterval extends KeyRange {
  readonly targetId: string;
  /** Number of the target's start, from 1. */
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
  readonly incarnation: number;
}

const LATENCY_MS = 1;
const RESPONSE_TIMEOUT_MS = 400;
const CONNECT_TIMEOUT_MS = 250;
/** Requests that run on released keys end after this. */
const WORK_MS = 60;

export class FakeKeyHolders {
  readonly holdIntervals: HoldInterval[] = [];
  readonly orders: ReceivedOrder[] = [];
  readonly #clock: Clock;
  readonly #faultModes = new Map<string, HolderFaultMode>();
  readonly #seenTokens = new Map<string, (KeyRange & { token: number })[]>();
  readonly #ended = new Set<string>();
  /** Ended targets at whose addresses other processes run. */
  readonly #replaced = new Set<string>();
  readonly #incarnations = new Map<string, number>();
  #lateGrantDelayMs = 6_000;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  setFaultMode(targetId: string, mode: HolderFaultMode): void {
    this.#faultModes.set(targetId, mode);
  }

  /** Whether orders to the target get responses. */
  isAnswering(targetId: string): boolean {
    const mode = this.#faultModes.get(targetId) ?? "answering";
    return !this.#ended.has(targetId) && mode !== "unreachable" &&
      mode !== "unconnectable";
  }

  /** Sets the delay between the arrival of a late grant and its effect. */
  setLateGrantDelayMs(lateMs: number): void {
    this.#lateGrantDelayMs = lateMs;
  }

  /**
   * Creates the order client of one sender; `canReach` returns whether its
   * orders reach a target.
   */
  createClient(
    canReach: (targetId: string) => boolean = () => true,
  ): KeyOrderSender {
    const sessions = new Map<string, Session>();
    const getSession = (id: string) => this.#updateSession(sessions, id);
    const breakSession = (id: string, outcome: OrderOutcome) => {
      if (outcome.kind === "unanswered") {
        sessions.set(id, {
          number: getSession(id) + 1,
          incarnation: this.#getIncarnation(id),
        });
      }
      return outcome;
    };
    return {
      getSession: ({ id }) => getSession(id),
      grant: async (to, order, session) =>
        session === getSession(to.id)
          ? breakSession(to.id, await this.#grant(to, order, canReach))
          : {
            kind: "session-over",
            message: "The session with the target has ended",
          },
      release: async (from, order) =>
        breakSession(from.id, await this.#release(from, order, canReach)),
    };
  }

  /**
   * Restarts the target under its id: the new process has no holds and no
   * tokens.
   */
  restart(targetId: string): void {
    this.#closeAllHolds(targetId);
    this.#seenTokens.delete(targetId);
    this.#incarnations.set(targetId, this.#getIncarnation(targetId) + 1);
  }

  /** Connections end with the target process, which ends the session. */
  #updateSession(sessions: Map<string, Session>, id: string): number {
    const incarnation = this.#getIncarnation(id);
    const known = sessions.get(id) ?? { number: 1, incarnation };
    const number = known.incarnation === incarnation
      ? known.number
      : known.number + 1;
    sessions.set(id, { number, incarnation });
    return number;
  }

  #getIncarnation(targetId: string): number {
    return this.#incarnations.get(targetId) ?? 1;
  }

  /** Ends the target process: its holds end and it responds no more. */
  kill(targetId: string): void {
    this.#ended.add(targetId);
    this.#closeAllHolds(targetId);
  }

  /** Ends the target process; another one runs at its address from now on. */
  killReplaced(targetId: string): void {
    this.kill(targetId);
    this.#replaced.add(targetId);
  }

  #closeAllHolds(targetId: string): void {
    const nowMs = this.#clock.readMs();
    for (const interval of this.holdIntervals) {
      if (interval.targetId === targetId) {
        interval.untilMs = Math.min(interval.untilMs, nowMs);
      }
    }
  }

  /** Lists holds whose token is not higher than that of an earlier holder. */
  listStaleTokens(): readonly string[] {
    return this.holdIntervals.flatMap((interval, index) =>
      this.holdIntervals.slice(0, index)
        .filter((earlier) =>
          (earlier.targetId !== interval.targetId ||
            earlier.incarnation !== interval.incarnation) &&
          hasOverlap(earlier, interval) && earlier.token >= interval.token
        )
        .map((earlier) =>
          `${interval.targetId}:${interval.token} after ${earlier.targetId}:${earlier.token}`
        )
    );
  }

  /** Lists pairs of targets that held the same key at the same time. */
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

  /** Finds the target that holds a key now. */
  findHolder(key: number): string | undefined {
    const nowMs = this.#clock.readMs();
    return this.holdIntervals.find((interval) =>
      interval.from <= key && key <= interval.to && interval.untilMs > nowMs
    )?.targetId;
  }

  async #grant(
    to: OrderReceiver,
    order: GrantOrder,
    canReach: (targetId: string) => boolean,
  ): Promise<OrderOutcome> {
    if (this.#replaced.has(to.id) && canReach(to.id)) {
      return await this.#refuseAsReplaced();
    }
    const mode = this.#getFaultMode(to.id);
    if (mode === "unconnectable") {
      return await this.#failConnection();
    }
    if (mode === "unreachable" || !canReach(to.id)) {
      return await this.#failOrder();
    }
    if (!await this.#waitForArrival(to.id)) {
      return await this.#failOrder();
    }
    const arrivedAtMs = this.#clock.readMs();
    this.#recordOrder("grant", to.id, order);
    if (mode === "late") {
      void this.#grantLate(to, order, arrivedAtMs);
      return await this.#failOrder();
    }
    if (this.#hasSeenHigherToken(to.id, order)) {
      return { kind: "superseded" };
    }
    this.#recordHold(to.id, order, arrivedAtMs);
    return { kind: "done" };
  }

  /**
   * Returns false if the target process ends before the order arrives: the
   * connection ends with it, so no later incarnation receives the order either.
   */
  async #waitForArrival(targetId: string): Promise<boolean> {
    const incarnation = this.#getIncarnation(targetId);
    await this.#clock.sleep(LATENCY_MS);
    return !this.#ended.has(targetId) &&
      this.#getIncarnation(targetId) === incarnation;
  }

  /**
   * A process that has ended stays unreachable, whatever mode is set for it.
   */
  #getFaultMode(targetId: string): HolderFaultMode {
    return this.#ended.has(targetId)
      ? "unreachable"
      : this.#faultModes.get(targetId) ?? "answering";
  }

  async #grantLate(
    to: OrderReceiver,
    order: GrantOrder,
    arrivedAtMs: number,
  ): Promise<void> {
    const incarnation = this.#getIncarnation(to.id);
    await this.#clock.sleep(this.#lateGrantDelayMs);
    // Applied even if the range was released meanwhile; the hold counts from
    // the arrival.
    if (
      !this.#ended.has(to.id) && this.#getIncarnation(to.id) === incarnation &&
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
    if (this.#replaced.has(from.id) && canReach(from.id)) {
      return await this.#refuseAsReplaced();
    }
    const mode = this.#getFaultMode(from.id);
    if (mode === "unconnectable") {
      return await this.#failConnection();
    }
    if (mode === "unreachable" || !canReach(from.id)) {
      return await this.#failOrder();
    }
    if (!await this.#waitForArrival(from.id)) {
      return await this.#failOrder();
    }
    this.#recordOrder("release", from.id, order);
    this.#addSeenToken(from.id, order);
    this.#closeHolds(from.id, order);
    await this.#clock.sleep(WORK_MS);
    return { kind: "done", handover: `handover-${from.id}` };
  }

  async #refuseAsReplaced(): Promise<OrderOutcome> {
    await this.#clock.sleep(LATENCY_MS);
    return { kind: "replaced" };
  }

  async #failConnection(): Promise<OrderOutcome> {
    await this.#clock.sleep(CONNECT_TIMEOUT_MS);
    return {
      kind: "unsent",
      message: "No connection to the target",
      isUnreachable: true,
    };
  }

  async #failOrder(): Promise<OrderOutcome> {
    await this.#clock.sleep(RESPONSE_TIMEOUT_MS);
    return { kind: "unanswered", message: "No response to the order" };
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
    this.#addSeenToken(targetId, order);
    this.#closeHolds(targetId, order);
    this.holdIntervals.push({
      targetId,
      incarnation: this.#getIncarnation(targetId),
      from: order.from,
      to: order.to,
      token: order.token,
      fromMs: nowMs,
      untilMs: arrivedAtMs + order.holdMs,
    });
  }

  /** Ends the holds on the range; the parts outside it continue. */
  #closeHolds(targetId: string, range: KeyRange): void {
    const nowMs = this.#clock.readMs();
    for (const interval of [...this.holdIntervals]) {
      if (
        interval.targetId !== targetId || interval.untilMs <= nowMs ||
        interval.from > range.to || interval.to < range.from
      ) {
        continue;
      }
      if (interval.from < range.from) {
        this.holdIntervals.push({
          ...interval,
          to: range.from - 1,
          fromMs: nowMs,
        });
      }
      if (interval.to > range.to) {
        this.holdIntervals.push({
          ...interval,
          from: range.to + 1,
          fromMs: nowMs,
        });
      }
      interval.untilMs = nowMs;
    }
  }

  #addSeenToken(targetId: string, order: KeyRange & { token: number }): void {
    const seen = this.#seenTokens.get(targetId) ?? [];
    const { from, to, token } = order;
    this.#seenTokens.set(targetId, [...seen, { from, to, token }]);
  }

  #hasSeenHigherToken(
    targetId: string,
    order: KeyRange & { token: number },
  ): boolean {
    return (this.#seenTokens.get(targetId) ?? []).some((seen) =>
      hasOverlap(seen, order) &&
      seen.token > order.token
    );
  }
}
