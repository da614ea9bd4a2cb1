/**
 * Retry budget of one service, shared by all instances.
 *
 * Failure: targets become slow or refuse requests, every request is retried,
 * and the load grows when capacity is lowest. In any window, all instances
 * together may send `ratio` times the requests plus a reserve beyond the first
 * send of each request. The requests may be those of the window, of the one
 * before it or of the one half a window earlier.
 *
 * Each instance allows itself `ratio` times a weighted mean of these three
 * numbers of its own requests, and an equal part of the reserve. Means add up:
 * over all instances, and over the successive processes of each, they make the
 * mean for all requests, which is at most the largest of the three. The largest
 * numbers of single instances, or windows of their own, do not add up when load
 * moves from one instance to another.
 *
 * A retry counts from its claim until a window after the last moment at which
 * it may have reached its target. A request counts from the first moment at
 * which its caller may have sent it. So neither gets into another window when
 * the process pauses or a path is silent. Every claim checks each window that
 * contains the present, and those ahead in which granted retries may arrive.
 */
import type { Random } from "@lentilspur/ports/clock";
import { SlotCounts } from "./slot_counts.ts";

export interface RetryLimits {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Additional retries in a window, over all instances. */
  readonly reserve: number;
  readonly windowMs: number;
}

/** Which part of the budget a retry is taken from. */
export type RetryPart = "earned" | "reserve";

/** The instances that share the reserve. */
export interface Membership {
  readonly instances: number;
  /** Since when each of them can know of this instance. */
  readonly sinceMs: number;
}

/** A retry for which a send is wanted. */
export interface RetryRequest {
  /** Null if it is unknown which instances there are. */
  readonly membership: Membership | null;
  /** The send is given up, and cannot arrive any more, after this time. */
  readonly latestArrivalMs: number;
  /** Share of this instance's budget that is left to more urgent requests. */
  readonly keptShare?: number;
}

/** A granted retry that may still reach its target. */
export interface RetryTicket {
  readonly part: RetryPart;
  readonly latestSlot: number;
}

/** A decision on a retry, with the figures that it was made from. */
export type RetryClaim =
  & (
    | { readonly kind: "granted"; readonly ticket: RetryTicket }
    | { readonly kind: "refused" }
  )
  & RetryFigures;

export interface RetryFigures {
  /** Retries left in the fullest window before this claim; may be negative. */
  readonly left: number;
  /** Granted retries of this instance that may still reach their targets. */
  readonly open: number;
  /** Requests for the service at this instance in the last window. */
  readonly requests: number;
  /** Number of instances that share the reserve; null if unknown. */
  readonly instances: number | null;
  /** Share of this instance's budget that was kept from the request. */
  readonly keptShare: number;
}

/** A retry that may arrive although its send has ended. */
interface LateRetry {
  readonly ticket: RetryTicket;
  readonly latestArrivalMs: number;
}

interface ComputedWindows {
  readonly slot: number;
  /** Earned retries that are left in the fullest window. */
  earned: number;
  /** Earned retries that a window allows which begins now. */
  readonly mostEarned: number;
  /** Requests in the window that ends now. */
  readonly requests: number;
  /** `earned` may be higher by this much since it was computed. */
  mayHaveRisenBy: number;
  /** Whether `earned` is surely not lower since it was computed. */
  isLowerBound: boolean;
}

/** Whole slots in a window and in half of one. */
interface WindowLengths {
  readonly windowSlots: number;
  readonly halfSlots: number;
}

/** Counts for a window that begins at some time in a slot. */
interface WindowSums {
  /** Requests that were surely sent since the beginning of the window before. */
  sentSinceBefore: number;
  /** The same since the beginning of the window half a window earlier. */
  sentSinceHalf: number;
  sentSinceStart: number;
  /** Requests that may have been sent since the beginning of the window. */
  countedSinceStart: number;
  /** The same since the end of the window half a window earlier. */
  countedSinceHalf: number;
  /** Retries that may have arrived since the beginning of the window. */
  ended: number;
  /** Open retries that may still arrive after the beginning of the window. */
  openAhead: number;
}

/** Length of the slots in which requests and retries are counted. */
const SLOT_MS = 100;
/** What was computed in the same slot holds if requests are less late. */
const LATE_SLOTS = 5;
/** Windows back that are counted, and ahead for open retries. */
const KEPT_WINDOWS = 3;
/**
 * Weights of the window before, of the one half a window earlier, and of the
 * window itself; their sum is 1. The first two let retries begin at once after
 * calm seconds, the third lets a new process and a rising load have some.
 */
const WEIGHTS = { before: 0.2, half: 0.1, itself: 0.7 };
/**
 * Instances round to whole retries at random. Of the sum, which varies by half
 * the square root of their number, this many deviations are left free.
 */
const ROUNDING_DEVIATIONS = 4;
/**
 * Share of the budget that fills the level. It is below what windows allow, so
 * that less urgent requests alone do not use them up.
 */
const FILL_FRACTION = 0.95;

export class RetryBudget {
  #limits: RetryLimits;
  #lengths: WindowLengths;
  readonly #startedAtMs: number;
  /**
   * Fraction of a retry that this instance may use beyond its part. Parts are
   * not whole numbers, and hundreds of instances that round down would leave
   * much of the budget unused; by random fractions, their sum stays the same.
   */
  readonly #fraction: number;
  /** Requests by the first moment at which their callers may have sent them. */
  readonly #sentRequests: SlotCounts;
  /** Requests by the moment at which this instance counted them. */
  readonly #countedRequests: SlotCounts;
  /** Retries that have arrived or ended, by the last possible arrival. */
  readonly #endedRetries: SlotCounts;
  /** Granted retries that have not, by the last possible arrival. */
  readonly #openRetries: SlotCounts;
  #openCount = 0;
  /** Open retries whose sends have ended. */
  #lateRetries: readonly LateRetry[] = [];
  /**
   * Retries that less urgent requests may use, down to those kept from them. It
   * is 0 while retries are short.
   */
  #level = 0;
  #filledAtMs: number;
  #computed: ComputedWindows | undefined;

  /** `startedAtMs`: when this process started. */
  constructor(
    limits: RetryLimits,
    { startedAtMs, random }: {
      readonly startedAtMs: number;
      readonly random: Random;
    },
  ) {
    this.#limits = limits;
    this.#lengths = computeLengths(limits);
    this.#startedAtMs = startedAtMs;
    this.#fraction = random.draw();
    this.#filledAtMs = startedAtMs;
    const capacity = computeCapacity(limits);
    this.#sentRequests = new SlotCounts(capacity);
    this.#countedRequests = new SlotCounts(capacity);
    this.#endedRetries = new SlotCounts(capacity);
    this.#openRetries = new SlotCounts(capacity);
  }

  /** Counts the granted retries that may still reach their targets. */
  countOpen(nowMs: number): number {
    this.#settleLate(nowMs);
    return this.#openCount;
  }

  /** Replaces the limits; what was counted before still counts. */
  setLimits(limits: RetryLimits): void {
    this.#limits = limits;
    this.#lengths = computeLengths(limits);
    this.#computed = undefined;
    const capacity = computeCapacity(limits);
    this.#sentRequests.reserve(capacity);
    this.#countedRequests.reserve(capacity);
    this.#endedRetries.reserve(capacity);
    this.#openRetries.reserve(capacity);
  }

  /**
   * Records a request for the service, whether or not it will be sent.
   * `earliestMs` is the first moment at which its caller may have sent it.
   */
  recordRequest(nowMs: number, earliestMs = nowMs): void {
    const sentSlot = toSlot(Math.min(earliestMs, nowMs));
    this.#level += FILL_FRACTION * this.#limits.ratio;
    this.#countedRequests.add(toSlot(nowMs), 1);
    this.#sentRequests.add(sentSlot, 1);
    if (this.#computed !== undefined) {
      this.#computed.mayHaveRisenBy += this.#limits.ratio;
      // A request of an earlier window may lower what the window allows.
      this.#computed.isLowerBound &&= toSlot(nowMs) - sentSlot < LATE_SLOTS;
    }
  }

  /** Takes one retry from the budget. */
  claimRetry(
    { membership, latestArrivalMs, keptShare = 0 }: RetryRequest,
    nowMs: number,
  ): RetryClaim {
    this.#settleLate(nowMs);
    const reserve = this.#computeReserve(membership, nowMs);
    const windows = this.#getWindows(nowMs, reserve);
    const { earned, mostEarned, requests } = windows;
    const left = earned + reserve + this.#fraction;
    const figures = {
      left: Math.round(left * 100) / 100,
      open: this.#openCount,
      requests,
      instances: membership?.instances ?? null,
      keptShare,
    };
    const most = mostEarned + reserve;
    this.#addReserve(reserve, nowMs);
    this.#level = left < 1 ? 0 : Math.min(most, this.#level);
    if (left < 1 || this.#level < keptShare * most) {
      return { kind: "refused", ...figures };
    }
    this.#level = Math.max(0, this.#level - 1);
    const part = earned + this.#fraction >= 1 ? "earned" : "reserve";
    const ticket = this.#open(part, latestArrivalMs, nowMs);
    windows.earned--;
    return { kind: "granted", ticket, ...figures };
  }

  /**
   * Records when a granted retry has arrived, or will have at the latest. Until
   * then it stays open.
   */
  settleRetry(
    ticket: RetryTicket,
    latestArrivalMs: number,
    nowMs: number,
  ): void {
    this.#close(ticket);
    if (latestArrivalMs <= nowMs) {
      this.#endedRetries.add(toSlot(nowMs), 1);
      return;
    }
    const late = this.#open(ticket.part, latestArrivalMs, nowMs);
    this.#lateRetries = [...this.#lateRetries, {
      ticket: late,
      latestArrivalMs,
    }];
  }

  /** Settles the retries that cannot arrive any more. */
  #settleLate(nowMs: number): void {
    const settled = this.#lateRetries
      .filter(({ latestArrivalMs }) => latestArrivalMs <= nowMs);
    if (settled.length === 0) {
      return;
    }
    this.#lateRetries = this.#lateRetries
      .filter(({ latestArrivalMs }) => latestArrivalMs > nowMs);
    for (const { ticket, latestArrivalMs } of settled) {
      this.#close(ticket);
      this.#endedRetries.add(toSlot(latestArrivalMs), 1);
    }
  }

  #open(
    part: RetryPart,
    latestArrivalMs: number,
    nowMs: number,
  ): RetryTicket {
    const latestSlot = this.#toLatestSlot(latestArrivalMs, nowMs);
    this.#openRetries.add(latestSlot, 1);
    this.#openCount++;
    return { part, latestSlot };
  }

  /** Takes back a granted retry that is not sent. */
  releaseRetry(ticket: RetryTicket): void {
    this.#close(ticket);
    this.#level++;
  }

  #close({ latestSlot }: RetryTicket): void {
    this.#openRetries.add(latestSlot, -1);
    this.#openCount--;
    if (this.#computed !== undefined) {
      this.#computed.mayHaveRisenBy++;
    }
  }

  /** Raises the level by the reserve of the time since the last claim. */
  #addReserve(reserve: number, nowMs: number): void {
    const { windowMs } = this.#limits;
    const elapsedMs = Math.min(windowMs, nowMs - this.#filledAtMs);
    this.#filledAtMs = nowMs;
    this.#level += FILL_FRACTION * reserve * elapsedMs / windowMs;
  }

  /**
   * Returns what was computed last, if it suffices to decide whether a retry is
   * left: nothing but requests and ended retries can have changed it since.
   */
  #getWindows(nowMs: number, reserve: number): ComputedWindows {
    const known = this.#computed;
    if (
      known !== undefined && known.slot === toSlot(nowMs) && known.isLowerBound
    ) {
      const left = known.earned + reserve + this.#fraction;
      if (left >= 1 || left + known.mayHaveRisenBy < 1) {
        return known;
      }
    }
    this.#computed = this.#computeWindows(nowMs);
    return this.#computed;
  }

  /**
   * Computes the earned retries that are left in the fullest window, and those
   * that a window that begins now allows. A window that begins in a slot is
   * taken to have all retries of that slot, and no requests of the slots that
   * it may contain in part.
   */
  #computeWindows(nowMs: number): ComputedWindows {
    const nowSlot = toSlot(nowMs);
    const lastSlot = nowSlot + this.#lengths.halfSlots;
    const firstSlot = nowSlot - this.#lengths.windowSlots - 1;
    const sums = this.#createSums(lastSlot + 1);
    let earned = Infinity;
    let mostEarned = 0;
    let requests = 0;
    for (let slot = lastSlot; slot >= firstSlot; slot--) {
      this.#addSlot(sums, slot);
      const allowed = this.#limits.ratio * computeMean(sums);
      const open = slot > nowSlot ? sums.openAhead : this.#openCount;
      earned = Math.min(earned, allowed - sums.ended - open);
      if (slot === nowSlot) {
        mostEarned = allowed;
        requests = sums.sentSinceBefore;
      }
    }
    return {
      slot: nowSlot,
      earned,
      mostEarned,
      requests,
      mayHaveRisenBy: 0,
      isLowerBound: true,
    };
  }

  /** Creates the sums of a window that begins in a slot. */
  #createSums(slot: number): WindowSums {
    const { windowSlots, halfSlots } = this.#lengths;
    const sent = this.#sentRequests;
    const counted = this.#countedRequests;
    return {
      sentSinceBefore: sent.countFrom(slot + 1 - windowSlots),
      sentSinceHalf: sent.countFrom(slot + 1 - halfSlots),
      sentSinceStart: sent.countFrom(slot + 1),
      countedSinceStart: counted.countFrom(slot),
      countedSinceHalf: counted.countFrom(slot + halfSlots),
      ended: this.#endedRetries.countFrom(slot),
      openAhead: this.#openRetries.countFrom(slot),
    };
  }

  /** Turns the sums of the window after this slot into those of this slot. */
  #addSlot(sums: WindowSums, slot: number): void {
    const { windowSlots, halfSlots } = this.#lengths;
    const sent = this.#sentRequests;
    const counted = this.#countedRequests;
    sums.sentSinceBefore += sent.get(slot + 1 - windowSlots);
    sums.sentSinceHalf += sent.get(slot + 1 - halfSlots);
    sums.sentSinceStart += sent.get(slot + 1);
    sums.countedSinceStart += counted.get(slot);
    sums.countedSinceHalf += counted.get(slot + halfSlots);
    sums.ended += this.#endedRetries.get(slot);
    sums.openAhead += this.#openRetries.get(slot);
  }

  /** Windows that begin more than half a window ahead are not checked. */
  #toLatestSlot(latestArrivalMs: number, nowMs: number): number {
    const nowSlot = toSlot(nowMs);
    const aheadSlot = nowSlot + this.#lengths.halfSlots;
    return Math.min(Math.max(toSlot(latestArrivalMs), nowSlot), aheadSlot);
  }

  /**
   * Computes this instance's part of the reserve. There is none until a window
   * after the others could know of this instance: until then they divide the
   * reserve among fewer, and an earlier process of this instance may have used
   * its part.
   */
  #computeReserve(membership: Membership | null, nowMs: number): number {
    const { reserve, windowMs } = this.#limits;
    if (membership === null) {
      return 0;
    }
    const sinceMs = Math.max(membership.sinceMs, this.#startedAtMs);
    if (nowMs - sinceMs < windowMs) {
      return 0;
    }
    const instances = Math.max(1, membership.instances);
    const rounding = Math.min(
      instances,
      ROUNDING_DEVIATIONS * Math.sqrt(instances) / 2,
    );
    return Math.max(0, reserve - rounding) / instances;
  }
}

/** Computes the weighted mean of the requests of the three windows. */
function computeMean(sums: WindowSums): number {
  const before = sums.sentSinceBefore - sums.countedSinceStart;
  const half = sums.sentSinceHalf - sums.countedSinceHalf;
  return WEIGHTS.before * Math.max(0, before) +
    WEIGHTS.half * Math.max(0, half) + WEIGHTS.itself * sums.sentSinceStart;
}

/** Rounds down, so that no request of a slot counts that is there in part. */
function computeLengths({ windowMs }: RetryLimits): WindowLengths {
  return {
    windowSlots: Math.floor(windowMs / SLOT_MS),
    halfSlots: Math.floor(windowMs / 2 / SLOT_MS),
  };
}

function computeCapacity({ windowMs }: RetryLimits): number {
  return Math.ceil(KEPT_WINDOWS * windowMs / SLOT_MS);
}

function toSlot(atMs: number): number {
  return Math.floor(atMs / SLOT_MS);
}
