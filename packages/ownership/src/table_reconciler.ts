/**
 * Carries out one service's ownership table: renews grants, and moves each
 * range that changes owners from its former holders to its new owner.
 *
 * The order of steps ensures that a key has only one owner. The table with the
 * new owner and its token is in the store before this class receives it. Each
 * former holder is then released under the new token, so that it refuses every
 * older grant from then on, or its hold is left to expire. Only then is the
 * range granted to its new owner.
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
import {
  type Assignee,
  type Holder,
  isSameEndpoint,
  type KeyTable,
  type OwnedRange,
} from "./key_table.ts";
import type { KeeperTiming } from "./keeper_timing.ts";
import { TargetFailures } from "./target_failures.ts";

export type OrderReport = {
  readonly order: "grant" | "renew" | "release";
  readonly targetId: string;
  readonly from: number;
  readonly to: number;
  readonly token: number;
  readonly outcome: OrderOutcome["kind"];
  /** Why the order is not done. */
  readonly message?: string;
  /** Set if a response arrived that may belong to another order. */
  readonly isForeign?: true;
  /** Time until the outcome was known, in whole milliseconds. */
  readonly tookMs: number;
};

/** Grants of earlier keepers that may still be in force. */
export interface InheritedGrants {
  /** Until then, a holder that was not released may still hold its ranges. */
  readonly untilMs: number;
  /** Whether no grant of an earlier keeper can still take effect. */
  readonly isClean: boolean;
  /**
   * Whether an earlier keeper may still be running, so that the store may be
   * restored to a state in which it was not replaced.
   */
  readonly isPredecessorActive: boolean;
  /** As in `PredecessorState`. */
  readonly unknownOwnersUntilMs: number;
}

export interface TableReconcilerOptions {
  readonly clock: Clock;
  readonly orders: KeyOrderSender;
  readonly timing: KeeperTiming;
  /** Checked right before each order: whether this keeper may still act. */
  readonly mayAct: () => boolean;
  /** Whether the process of this holder is known to have ended. */
  readonly hasEnded: (holder: Holder) => boolean;
  /** Tokens up to this one were issued by earlier keepers. */
  readonly inheritedToken: number;
  /** The keeper's term, which rises after a restore of the store. */
  readonly getTerm: () => number;
  /** Ranges with the holders that earlier keepers may have granted them to. */
  readonly inheritedRanges: readonly OwnedRange[];
  readonly getInherited: () => InheritedGrants;
  /** Whether the store has just confirmed this keeper. */
  readonly isConfirmed: () => boolean;
  /**
   * Until then, only a release proves that a former holder's keys are free: an
   * unknown keeper may have given those of an ended target to another one; local
   * clock.
   */
  readonly getReleasesRequiredUntilMs: () => number;
  readonly report: (report: OrderReport) => void;
  /** Called with each range in transfer that its new owner has been granted. */
  readonly onGranted: (range: OwnedRange) => void;
  /** Called when a target has seen a higher token than this keeper's. */
  readonly onSuperseded: () => void;
}

/** Progress of a range since the table assigned it to its owner. */
interface RangeState {
  range: OwnedRange;
  granted: boolean;
  /** Whether the owner has seen a higher token. */
  isSuperseded: boolean;
  orderInFlight: boolean;
  nextOrderAtMs: number;
  /** When each former holder answered its release, by target id. */
  readonly released: Map<string, number>;
  handover: string | undefined;
  /**
   * The session in which the owner's token was first sent; the token is sent in
   * no other session.
   */
  session: number | undefined;
}

export class TableReconciler {
  readonly #options: TableReconcilerOptions;
  readonly #holds = new HoldTracker();
  /** Incarnations of targets whose address another process has taken over. */
  readonly #ended = new Set<string>();
  readonly #failures: TargetFailures;
  /** By `formatRange`, in the order of keys. */
  #states: ReadonlyMap<string, RangeState> = new Map();

  constructor(options: TableReconcilerOptions) {
    this.#options = options;
    const { clock, timing: { unresponsiveAfterMs } } = options;
    this.#failures = new TargetFailures({ clock, unresponsiveAfterMs });
  }

  /**
   * Sets the table as it is now in the store. Progress of unchanged ranges is
   * kept.
   */
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

  /**
   * Whether the owner has been granted the range, so that no former holder
   * holds it.
   */
  isSettled(range: OwnedRange): boolean {
    return this.#states.get(formatRange(range))?.granted === true;
  }

  /**
   * Whether the range may be granted to its owner only under a new token.
   * Another incarnation of the owner may run at its address, and must not get
   * the keys under a token of the previous incarnation. Only the keeper that
   * issued a token can tell in which session the token was sent.
   */
  hasStaleToken(range: OwnedRange): boolean {
    const state = this.#states.get(formatRange(range));
    return state !== undefined && this.#hasStaleToken(state);
  }

  /** Whether an unanswered grant of this keeper can still take effect. */
  hasUnansweredGrants(): boolean {
    return this.#holds.hasUnansweredGrants(this.#options.clock.readMs());
  }

  /** Whether a target has not answered orders for some time, or has ended. */
  isUnusable(target: Assignee): boolean {
    const incarnationKey = formatIncarnationKey(target);
    return this.#ended.has(incarnationKey) ||
      this.#failures.isUnresponsive(incarnationKey);
  }

  /** Sends every order that is due. Must be called at short intervals. */
  advance(): void {
    const nowMs = this.#options.clock.readMs();
    this.#holds.expire(nowMs);
    for (const state of this.#states.values()) {
      if (!state.orderInFlight && nowMs >= state.nextOrderAtMs) {
        this.#advanceRange(state, nowMs);
      }
    }
  }

  /**
   * A token that a keeper of an earlier era has exceeded, and whose claim is
   * lost, is replaced by one of the present term.
   */
  #hasStaleToken({ range, session, isSuperseded }: RangeState): boolean {
    const { token } = range.owner;
    return token <= this.#options.inheritedToken ||
      (isSuperseded && token < this.#options.getTerm()) ||
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
    if (nowMs < this.#options.getInherited().unknownOwnersUntilMs) {
      return;
    }
    const pending = state.range.former
      .find((holder) => !this.#hasNoHold(state, holder, nowMs));
    if (pending === undefined) {
      if (this.#mayGrant(state.range, nowMs)) {
        void this.#run(state, () => this.#grant(state, "grant"));
      }
    } else if (
      !state.released.has(pending.id) &&
      this.#failures.takeRelease(formatIncarnationKey(pending))
    ) {
      void this.#run(state, () => this.#release(state, pending));
    }
  }

  /**
   * While an earlier keeper may be running, new owners get keys only shortly
   * after the store has confirmed this keeper. If the store is restored to a
   * state before its claim, the earlier keeper goes on without knowing of them.
   */
  #mayGrant(range: OwnedRange, nowMs: number): boolean {
    const { getInherited, isConfirmed } = this.#options;
    const { isPredecessorActive, untilMs } = getInherited();
    return !isPredecessorActive || nowMs >= untilMs || isConfirmed() ||
      this.#isInheritedOwner(range);
  }

  #isInheritedOwner(range: OwnedRange): boolean {
    const inherited = this.#options.inheritedRanges
      .filter((one) => hasOverlap(one, range));
    return inherited.length > 0 &&
      inherited.every(({ owner }) => isSameEndpoint(owner, range.owner));
  }

  /**
   * Sends one order at a time per range, and none unless this keeper may act.
   */
  async #run(state: RangeState, sendOrder: () => Promise<void>): Promise<void> {
    if (!this.#options.mayAct()) {
      return;
    }
    state.orderInFlight = true;
    try {
      await sendOrder();
    } finally {
      state.orderInFlight = false;
    }
    // The next order of a move follows at once, since its keys are unserved.
    const nowMs = this.#options.clock.readMs();
    if (
      !state.granted && nowMs >= state.nextOrderAtMs && this.#isPresent(state)
    ) {
      this.#advanceRange(state, nowMs);
    }
  }

  /** Whether the table still contains the range. */
  #isPresent(state: RangeState): boolean {
    return this.#states.get(formatRange(state.range)) === state;
  }

  /** Whether the former holder can no longer hold any key of the range. */
  #hasNoHold(state: RangeState, holder: Holder, nowMs: number): boolean {
    const { range } = state;
    if (nowMs < this.#options.getReleasesRequiredUntilMs()) {
      return this.#isReleased(state, holder, nowMs);
    }
    if (
      this.#ended.has(formatIncarnationKey(holder)) ||
      this.#options.hasEnded(holder)
    ) {
      return true;
    }
    if (nowMs >= this.#computeHoldEndMs(holder, range)) {
      return true;
    }
    return this.#isReleased(state, holder, nowMs);
  }

  /**
   * Whether the former holder has released the range, and no earlier grant can
   * take effect any more.
   */
  #isReleased(state: RangeState, holder: Holder, nowMs: number): boolean {
    const releasedAtMs = state.released.get(holder.id);
    return releasedAtMs !== undefined &&
      nowMs >=
        this.#computePendingGrantsEndMs(holder, state.range, releasedAtMs);
  }

  #computeHoldEndMs(holder: Holder, range: OwnedRange): number {
    const own = this.#holds.computeEndMs(holder.id, range);
    return this.#isInherited(holder, range)
      ? Math.max(own, this.#options.getInherited().untilMs)
      : own;
  }

  /**
   * Time after which no grant sent to a holder before its release can still
   * take effect. The holder refuses grants that arrive after the release
   * because of their tokens; the hold of a grant that arrived before starts at
   * its arrival.
   */
  #computePendingGrantsEndMs(
    holder: Holder,
    range: OwnedRange,
    releasedAtMs: number,
  ): number {
    const { getInherited, timing } = this.#options;
    const own = this.#holds.computeUnansweredEndMs(holder.id, range);
    const { isClean, untilMs } = getInherited();
    // Once all inherited grants have expired, none can take effect any more.
    const inheritedMs = Math.min(
      untilMs,
      computeHoldEndMs(releasedAtMs, timing.holdMs),
    );
    return this.#isInherited(holder, range) && !isClean
      ? Math.max(own, inheritedMs)
      : own;
  }

  /**
   * Whether an earlier keeper may have granted the holder any of these keys.
   */
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
    recordGrantOutcome(record, outcome, clock.readMs());
    state.isSuperseded ||= outcome.kind === "superseded";
    if (outcome.kind === "done") {
      this.#recordGranted(state);
    } else {
      state.nextOrderAtMs = clock.readMs() + timing.retryDelayMs;
    }
    this.#reportOrder(order, state, { holder: range.owner, outcome, sentAtMs });
  }

  #recordGranted(state: RangeState): void {
    const isNewOwner = !state.granted && state.range.former.length > 0;
    state.granted = true;
    if (isNewOwner) {
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
      state.nextOrderAtMs = clock.readMs() + timing.retryDelayMs;
    }
    this.#reportOrder("release", state, { holder, outcome, sentAtMs });
  }

  #recordOutcome(holder: Holder, outcome: OrderOutcome): void {
    const incarnationKey = formatIncarnationKey(holder);
    switch (outcome.kind) {
      case "done":
        this.#failures.recordAnswered(incarnationKey);
        return;
      case "superseded":
        this.#options.onSuperseded();
        return;
      case "replaced":
        this.#ended.add(incarnationKey);
        return;
      case "session-over":
        return;
      case "unsent":
        if (outcome.isUnreachable) {
          this.#failures.recordFailed(incarnationKey);
        }
        return;
      case "unanswered":
        this.#failures.recordFailed(incarnationKey);
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
      ...("message" in result.outcome
        ? { message: result.outcome.message }
        : {}),
      ...(result.outcome.kind === "unanswered" && result.outcome.isForeign
        ? { isForeign: true as const }
        : {}),
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
  const previous = before.find((state) => isWithin(range, state.range));
  // The rest of a granted range stays granted and keeps its renewal schedule.
  const granted = previous?.granted === true &&
    hasSameOwner(range, previous.range);
  return {
    range,
    granted,
    isSuperseded: false,
    orderInFlight: false,
    nextOrderAtMs: granted ? previous.nextOrderAtMs : -Infinity,
    released: previous === undefined
      ? new Map()
      : listReleased(range, previous),
    // A handover stays valid until an owner has been granted the range.
    handover: previous?.granted === false ? previous.handover : undefined,
    session: hasSameOwner(range, previous?.range)
      ? previous?.session
      : undefined,
  };
}

/**
 * A holder that released the keys for one owner has also released them for the
 * next one: it already refuses every older grant. Another release would restart
 * the wait for unanswered grants, 3.5 s for each owner that turned out to be
 * lost.
 */
function listReleased(
  range: OwnedRange,
  previous: RangeState,
): Map<string, number> {
  return new Map(
    [...previous.released].filter(([id]) => {
      const token = findToken(range, id);
      return token !== undefined && token === findToken(previous.range, id);
    }),
  );
}

/** The token under which a former holder held the range. */
function findToken(range: OwnedRange, id: string): number | undefined {
  return range.former.find((holder) => holder.id === id)?.token;
}

function recordGrantOutcome(
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

function isWithin(range: OwnedRange, outer: OwnedRange): boolean {
  return range.from >= outer.from && range.to <= outer.to;
}

function hasSameOwner(
  range: OwnedRange,
  other: OwnedRange | undefined,
): boolean {
  return range.owner.id === other?.owner.id &&
    range.owner.token === other.owner.token;
}

/** Identifies a range under one token, whatever its former holders. */
function formatRange(range: OwnedRange): string {
  return `${range.from}-${range.to}:${range.owner.id}:${range.owner.token}`;
}

/** Identifies one incarnation of a target at one address. */
function formatIncarnationKey({ id, address, bornMs }: Assignee): string {
  return `${id} ${address} ${bornMs ?? ""}`;
}

function toReceiver(holder: Holder): OrderReceiver {
  return { id: holder.id, address: holder.address };
}
