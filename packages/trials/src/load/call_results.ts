/** What callers of one simulation received, summed up. */
import { build, type Histogram } from "hdr-histogram-js";
import type { Call, CallEnd } from "./call.ts";
import { WARM_UP_MS } from "./patterns.ts";

/** Refused within this share of the deadline counts as told early. */
export const EARLY_SHARE = 0.1;
/** Histograms count microseconds. */
const PER_MS = 1_000;

export class CallResults {
  readonly latencies = createHistogram();
  readonly bystanderLatencies = createHistogram();
  /** Time until a refusal, for all refused. */
  readonly refusals = createHistogram();
  /** Place time of answered calls, by client account. */
  readonly servedMs = new Map<number, number>();
  /** Place time asked for by first sends, by client account. */
  readonly askedMs = new Map<number, number>();
  answered = 0;
  refused = 0;
  refusedEarly = 0;
  unknown = 0;
  unanswered = 0;
  /** Sends, counting those that repeat a refused one. */
  sends = 0;
  firstSends = 0;
  /** Offers to a target's queue. */
  offers = 0;

  recordSend(call: Call): void {
    if (call.arrivedAtMs >= WARM_UP_MS) {
      this.sends++;
      this.firstSends += call.sends === 1 ? 1 : 0;
      addTo(
        this.askedMs,
        call.subject.account,
        call.sends === 1 ? call.subject.serviceMs : 0,
      );
    }
  }

  /** `networkMs` is what the ways there and back add. */
  recordEnd(
    call: Call,
    end: CallEnd,
    times: { readonly nowMs: number; readonly networkMs: number },
  ): void {
    if (call.arrivedAtMs < WARM_UP_MS) {
      return;
    }
    const tookMs = times.nowMs - call.arrivedAtMs;
    switch (end.kind) {
      case "answered":
        this.answered++;
        addTo(this.servedMs, call.subject.account, call.subject.serviceMs);
        this.#recordLatency(call, tookMs + times.networkMs);
        return;
      case "refused":
        this.#recordRefusal(call, tookMs);
        return;
      case "unknown":
        this.unknown++;
        return;
      case "gone":
        return;
      case "unanswered":
        this.unanswered++;
        return;
    }
  }

  merge(other: CallResults): void {
    this.latencies.add(other.latencies);
    this.bystanderLatencies.add(other.bystanderLatencies);
    this.refusals.add(other.refusals);
    this.answered += other.answered;
    this.refused += other.refused;
    this.refusedEarly += other.refusedEarly;
    this.unknown += other.unknown;
    this.unanswered += other.unanswered;
    this.sends += other.sends;
    this.firstSends += other.firstSends;
    this.offers += other.offers;
  }

  #recordLatency(call: Call, tookMs: number): void {
    const value = Math.round(tookMs * PER_MS);
    this.latencies.recordValue(value);
    if (call.subject.bystander) {
      this.bystanderLatencies.recordValue(value);
    }
  }

  #recordRefusal(call: Call, tookMs: number): void {
    this.refused++;
    this.refusals.recordValue(Math.round(tookMs * PER_MS));
    const allowedMs = call.deadlineAtMs - call.arrivedAtMs;
    this.refusedEarly += tookMs <= EARLY_SHARE * allowedMs ? 1 : 0;
  }
}

/** A percentile in milliseconds; null where nothing was recorded. */
export function getPercentileMs(
  histogram: Histogram,
  percentile: number,
): number | null {
  return histogram.totalCount === 0
    ? null
    : histogram.getValueAtPercentile(percentile) / PER_MS;
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000 * PER_MS,
    numberOfSignificantValueDigits: 3,
  });
}

function addTo(map: Map<number, number>, key: number, value: number): void {
  map.set(key, (map.get(key) ?? 0) + value);
}
