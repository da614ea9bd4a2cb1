/**
 * Carries out one service's table of owners: renews what stands, and leads each
 * range that changes owners from its former holders to the new one.
 *
 * The order of steps is what keeps a key with one owner. The table with the new
 * owner and its token is in the store before this class hears of it. Each
 * former holder is released under the new token, so that it refuses every older
 * grant from then on, or its hold is waited out; only then is the owner
 * granted the range.
 */
import {
  hasOverlap,
  type KeyOrderSender,
  type OrderOutcome,
  type OrderReceiver,
} from "@lentilspur/ports/key_orders";
import type { Clock } from "@lentilspur/ports/clock";
import {
  computeHoldEndMs,
  type GrantRecord,
  HoldTracker,
} from "./hold_tracker.ts";
import type { Assignee, Holder, KeyTable, OwnedRange } from "./key_table.ts";
import type { KeeperTiming } from "./keeper_timing.ts";

export type OrderReport = {
  readonly order: "grant" | "renew" | "release";
  readonly targetId: string;
  readonly from: number;
  readonly to: number;
  readonly token: number;
  readonly outcome: OrderOutcome["kind"];
  /** Until its outcome was known, in whole milliseconds. */
  readonly tookMs: number;
};

/** What may still be in force of the grants of earlier keepers. */
export interface InheritedGrants {
  /** Before this, a holder that was not released may hold what it did. */
  readonly untilMs: number;
  /** None of them is left that may be carried out late. */
  readonly isClean: boolean;
}

export interface TableReconcilerOptions {
  readonly clock: Clock;
  readonly orders: KeyOrderSender;
  readonly timing: KeeperTiming;
  /** Asked right before each order: whether this keeper may still act. */
  readonly mayAct: () => boolean;
  /** Whether the process with this id is known to have ended. */
  readonly hasEnded: (holder: Holder) => boolean;
  /** Tokens up to this one were drawn by earlier keepers. */
  readonly inheritedToken: number;
  /** Whom earlier keepers may have granted which keys. */
  readonly inheritedRanges: readonly OwnedRange[];
  readonly getInherited: () => InheritedGrants;
  readonly report: (report: OrderReport) => void;
  /** A range that was on its way has reached its owner. */
  readonly onGranted: (range: OwnedRange) => void;
  /** A target has seen a higher token than this keeper's. */
  readonly onSuperseded: () => void;
}

/** What has been done for a range since the table named its owner. */
interface RangeState {
  range: OwnedRange;
  granted: boolean;
  orderInFlight: boolean;
  nextOrderAtMs: number;
  /** Former holders that have answered a release, and when. */
  readonly released: Map<string, number>;
  handover: string | undefined;
  /** In which the owner's token was first sent; it is sent in no other. */
  session: number | undefined;
}

/** A target's orders have failed all the while. */
interface FailureStreak {
  readonly sinceMs: number;
  readonly lastMs: number;
}

/**
 * A target that has been sent no order for this long is tried again. Without it,
 * one that could not be reached once would own nothing for good; more often, and
 * one that never answers costs its new keys 1.2 s each time.
 */
const FAILURE_STREAK_VALID_MS = 10_000;

export class TableReconciler {
  readonly #options: TableReconcilerOptions;
  readonly #holds = new HoldTracker();
  /** Lives of targets that another process has taken the place of. */
  readonly #ended = new Set<string>();
  readonly #failureStreaks = new Map<string, FailureStreak>();
  /** By the name of the range, in the order of keys. */
  #states: ReadonlyMap<string, RangeState> = new Map();

  constructor(options: TableReconcilerOptions) {
    this.#options = options;
  }

  /** The table as the store has it now. Progress of unchanged ranges is kept. */
  setTable(table: KeyTable): void {
    const known = this.#states;
    const before = [...known.values()];
    this.#states = new Map(
      table.ranges.map((range) => {
        const name = formatRange(range);
        return [name, restoreState(known.get(name), range, before)];
      }),
    );
  }

  /** Ranges whose owner has been granted them and whose former holders hold nothing. */
  isSettled(range: OwnedRange): boolean {
    return this.#states.get(formatRange(range))?.granted === true;
  }

  /**
   * Whether the owner of a range can be granted it under a new token only. Behind
   * its address there may be another life of it, which must not get the keys
   * under a token that the life before had; and nobody but the keeper that drew
   * a token knows in which session it was sent.
   */
  hasStaleToken(range: OwnedRange): boolean {
    const state = this.#states.get(formatRange(range));
    return state !== undefined && this.#hasStaleToken(state);
  }

  /** Whether a grant of this keeper may still be carried out unseen. */
  hasUnanswered(): boolean {
    return this.#holds.hasUnanswered(this.#options.clock.readMs());
  }

  /** Whether a target has not answered orders for a while, or has ended. */
  isUnusable(target: Assignee): boolean {
    const life = formatAssigneeKey(target);
    const silence = this.#failureStreaks.get(life);
    const nowMs = this.#options.clock.readMs();
    return this.#ended.has(life) ||
      (silence !== undefined &&
        nowMs - silence.lastMs < FAILURE_STREAK_VALID_MS &&
        nowMs - silence.sinceMs >= this.#options.timing.unresponsiveAfterMs);
  }

  /** Sends every order that is due. Call it often. */
  advance(): void {
    const nowMs = this.#options.clock.readMs();
    this.#holds.expire(nowMs);
    for (const state of this.#states.values()) {
      if (!state.orderInFlight && nowMs >= state.nextOrderAtMs) {
        this.#advanceRange(state, nowMs);
      }
    }
  }

  #hasStaleToken({ range, session }: RangeState): boolean {
    return range.owner.token <= this.#options.inheritedToken ||
      (session !== undefined &&
        session !== this.#options.orders.getSession(toReceiver(range.owner)));
  }

  #advanceRange(state: RangeState, nowMs: number): void {
    if (this.#hasStaleToken(state)) {
      return;
    }
    if (state.granted) {
      void this.#run(state, () => this.#grant(state, "renew"));
      return;
    }
    const pending = state.range.former
      .find((holder) => !this.#isClear(state, holder, nowMs));
    if (pending === undefined) {
      void this.#run(state, () => this.#grant(state, "grant"));
    } else if (!state.released.has(pending.id)) {
      void this.#run(state, () => this.#release(state, pending));
    }
  }

  /** One order at a time for a range; none unless this keeper may act. */
  async #run(state: RangeState, act: () => Promise<void>): Promise<void> {
    if (!this.#options.mayAct()) {
      return;
    }
    state.orderInFlight = true;
    try {
      await act();
    } finally {
      state.orderInFlight = false;
    }
    // The next order of a move follows at once: a key has no owner meanwhile.
    const nowMs = this.#options.clock.readMs();
    if (
      !state.granted && nowMs >= state.nextOrderAtMs && this.#isPresent(state)
    ) {
      this.#advanceRange(state, nowMs);
    }
  }

  /** Whether the table still has the range. */
  #isPresent(state: RangeState): boolean {
    return this.#states.get(formatRange(state.range)) === state;
  }

  #isClear(state: RangeState, holder: Holder, nowMs: number): boolean {
    const { range } = state;
    if (
      this.#ended.has(formatAssigneeKey(holder)) ||
      this.#options.hasEnded(holder)
    ) {
      return true;
    }
    if (nowMs >= this.#computeHoldEndMs(holder, range)) {
      return true;
    }
    const releasedAtMs = state.released.get(holder.id);
    return releasedAtMs !== undefined &&
      nowMs >= this.#computeLateEndMs(holder, range, releasedAtMs);
  }

  #computeHoldEndMs(holder: Holder, range: OwnedRange): number {
    const own = this.#holds.computeEndMs(holder.id, range);
    return this.#isInherited(holder, range)
      ? Math.max(own, this.#options.getInherited().untilMs)
      : own;
  }

  /**
   * When no grant can be carried out late on a holder that was released. What
   * reaches it after the release is refused for its token; what reached it
   * before counts from then.
   */
  #computeLateEndMs(
    holder: Holder,
    range: OwnedRange,
    releasedAtMs: number,
  ): number {
    const { getInherited, timing } = this.#options;
    const own = this.#holds.computeUnansweredEndMs(holder.id, range);
    const { isClean, untilMs } = getInherited();
    // Once all earlier grants have run out, none can be carried out any more.
    const inheritedMs = Math.min(
      untilMs,
      computeHoldEndMs(releasedAtMs, timing.holdMs),
    );
    return this.#isInherited(holder, range) && !isClean
      ? Math.max(own, inheritedMs)
      : own;
  }

  /** Whether an earlier keeper may have granted it any of these keys. */
  #isInherited(holder: Holder, range: OwnedRange): boolean {
    return this.#options.inheritedRanges.some((one) =>
      hasOverlap(one, range) &&
      [one.owner, ...one.former].some(({ id }) => id === holder.id)
    );
  }

  async #grant(state: RangeState, order: "grant" | "renew"): Promise<void> {
    const { clock, orders, timing } = this.#options;
    const { range } = state;
    const receiver = toReceiver(range.owner);
    state.session ??= orders.getSession(receiver);
    const sentAtMs = clock.readMs();
    state.nextOrderAtMs = sentAtMs + timing.renewIntervalMs;
    const record = this.#holds.recordSent(range.owner.id, range, {
      timeoutAtMs: sentAtMs + timing.orderTimeoutMs,
      holdMs: timing.holdMs,
    });
    const outcome = await orders.grant(receiver, {
      from: range.from,
      to: range.to,
      token: range.owner.token,
      holdMs: timing.holdMs,
      ...(state.handover === undefined || order === "renew"
        ? {}
        : { handover: state.handover }),
    }, state.session);
    this.#recordOutcome(range.owner, outcome);
    settleRecord(record, outcome, clock.readMs());
    if (outcome.kind === "done") {
      this.#recordGranted(state);
    } else {
      state.nextOrderAtMs = clock.readMs() + timing.retryIntervalMs;
    }
    this.#reportOrder(order, state, { holder: range.owner, outcome, sentAtMs });
  }

  #recordGranted(state: RangeState): void {
    const isNews = !state.granted && state.range.former.length > 0;
    state.granted = true;
    if (isNews) {
      this.#options.onGranted(state.range);
    }
  }

  async #release(state: RangeState, holder: Holder): Promise<void> {
    const { clock, orders, timing } = this.#options;
    const { range } = state;
    const sentAtMs = clock.readMs();
    const outcome = await orders.release(toReceiver(holder), {
      from: range.from,
      to: range.to,
      token: range.owner.token,
    });
    this.#recordOutcome(holder, outcome);
    if (outcome.kind === "done") {
      state.released.set(holder.id, clock.readMs());
      state.handover = outcome.handover ?? state.handover;
    } else {
      state.nextOrderAtMs = clock.readMs() + timing.retryIntervalMs;
    }
    this.#reportOrder("release", state, { holder, outcome, sentAtMs });
  }

  #recordOutcome(holder: Holder, outcome: OrderOutcome): void {
    const life = formatAssigneeKey(holder);
    const nowMs = this.#options.clock.readMs();
    switch (outcome.kind) {
      case "done":
        this.#failureStreaks.delete(life);
        return;
      case "superseded":
        this.#options.onSuperseded();
        return;
      case "replaced":
        this.#ended.add(life);
        return;
      case "session-over":
        return;
      case "unsent":
      case "unanswered":
        this.#failureStreaks.set(life, {
          sinceMs: this.#failureStreaks.get(life)?.sinceMs ?? nowMs,
          lastMs: nowMs,
        });
        return;
    }
  }

  #reportOrder(
    order: OrderReport["order"],
    state: RangeState,
    result: {
      readonly holder: Holder;
      readonly outcome: OrderOutcome;
      readonly sentAtMs: number;
    },
  ): void {
    this.#options.report({
      order,
      targetId: result.holder.id,
      from: state.range.from,
      to: state.range.to,
      token: state.range.owner.token,
      outcome: result.outcome.kind,
      tookMs: Math.round(this.#options.clock.readMs() - result.sentAtMs),
    });
  }
}

function restoreState(
  known: RangeState | undefined,
  range: OwnedRange,
  before: readonly RangeState[],
): RangeState {
  if (known !== undefined) {
    known.range = range;
    return known;
  }
  const whole = before.find((state) => isWithin(range, state.range));
  // What is left of a granted range is granted; its renewals go on in time.
  const granted = whole?.granted === true && hasSameOwner(range, whole.range);
  return {
    range,
    granted,
    orderInFlight: false,
    nextOrderAtMs: granted ? whole.nextOrderAtMs : -Infinity,
    released: whole === undefined ? new Map() : listReleased(range, whole),
    // What a former holder gave is good until an owner has taken it.
    handover: whole?.granted === false ? whole.handover : undefined,
    session: hasSameOwner(range, whole?.range) ? whole?.session : undefined,
  };
}

/**
 * A holder that has given the keys up for one owner has done so for the next:
 * it refuses every older grant already. Releasing it anew would begin the wait
 * for late grants anew, 3.5 s for each owner that turned out to be lost.
 */
function listReleased(
  range: OwnedRange,
  whole: RangeState,
): Map<string, number> {
  return new Map(
    [...whole.released].filter(([id]) => {
      const token = findToken(range, id);
      return token !== undefined && token === findToken(whole.range, id);
    }),
  );
}

/** Under which token a former holder held the range. */
function findToken(range: OwnedRange, id: string): number | undefined {
  return range.former.find((holder) => holder.id === id)?.token;
}

function settleRecord(
  record: GrantRecord,
  outcome: OrderOutcome,
  nowMs: number,
): void {
  switch (outcome.kind) {
    case "done":
    case "superseded":
    case "replaced":
      record.recordAnswered(nowMs);
      return;
    case "unsent":
    case "session-over":
      record.recordUnsent();
      return;
    case "unanswered":
      return;
  }
}

function isWithin(range: OwnedRange, whole: OwnedRange): boolean {
  return range.from >= whole.from && range.to <= whole.to;
}

function hasSameOwner(
  range: OwnedRange,
  other: OwnedRange | undefined,
): boolean {
  return range.owner.id === other?.owner.id &&
    range.owner.token === other.owner.token;
}

/** A range under one token; who held it before does not change what it is. */
function formatRange(range: OwnedRange): string {
  return `${range.from}-${range.to}:${range.owner.id}:${range.owner.token}`;
}

function formatAssigneeKey({ id, address, bornMs }: Assignee): string {
  return `${id} ${address} ${bornMs ?? ""}`;
}

function toReceiver(holder: Holder): OrderReceiver {
  return { id: holder.id, address: holder.address };
}
