/**
 * How long a job will hold a place, learnt from this instance's own
 * observations of one target.
 *
 * Load pattern: cheap lookups share two places with expensive ones. Without an
 * estimate per class, admission refuses lookups that would fit and runs long
 * jobs that cannot end in time, and nothing tells long from short.
 *
 * Memory is bounded: `MAX_CLASSES` classes and `MAX_LONG_KEYS` keys.
 */
import type { ScheduledJob } from "./scheduled_job.ts";

/** A route per class; templates declare fewer than this. */
const MAX_CLASSES = 64;
/** Keys remembered as dearer than their class; the oldest is forgotten. */
const MAX_LONG_KEYS = 64;
/** Weight of a new observation: the last 20 or so count, as one target sees about 200 a second. */
const SMOOTHING = 0.1;
/**
 * Weight of an observation far below the mean. One job that hung in a frozen
 * target must not make its class look long for the next 50.
 */
const RECOVERY_SMOOTHING = 0.5;
/** A key is dearer than its class, and a class than the rest, from this ratio on. */
const LONG_RATIO = 3;
/** Assumed before the first observation; one observation replaces it. */
const PRIOR_MS = 10;

/** What is expected of one job's service time, in milliseconds. */
export interface ServiceEstimate {
  readonly meanMs: number;
  readonly deviationMs: number;
}

interface Moments {
  meanMs: number;
  deviationMs: number;
  count: number;
}

export type CostSubject = Pick<
  ScheduledJob,
  "costClass" | "key" | "idempotent"
>;

export class CostModel {
  readonly #priorMs: number;
  readonly #classes = new Map<string, Moments>();
  readonly #longKeys = new Map<string, Moments>();
  #meanLog: number | null = null;

  constructor(options: { readonly priorMs?: number } = {}) {
    this.#priorMs = options.priorMs ?? PRIOR_MS;
  }

  /** Records the service time of a job that ran to its end or timed out. */
  observe(subject: CostSubject, serviceMs: number): void {
    const logMs = Math.log(Math.max(serviceMs, 0.01));
    this.#meanLog = this.#meanLog === null
      ? logMs
      : this.#meanLog + SMOOTHING * (logMs - this.#meanLog);
    const moments = this.#claimClass(getClassName(subject));
    const known = this.#longKeys.get(subject.key);
    const dear = moments.count > 0 && serviceMs > LONG_RATIO * moments.meanMs;
    if (known !== undefined) {
      this.#updateLongKey(subject.key, known, moments, serviceMs);
      return;
    }
    if (dear) {
      this.#addLongKey(subject.key, serviceMs);
    }
    updateMoments(moments, serviceMs);
  }

  estimate(subject: CostSubject): ServiceEstimate {
    const moments = this.#longKeys.get(subject.key) ??
      this.#classes.get(getClassName(subject));
    if (moments === undefined || moments.count === 0) {
      const meanMs = this.#meanLog === null
        ? this.#priorMs
        : Math.exp(this.#meanLog);
      return { meanMs, deviationMs: meanMs / 2 };
    }
    return moments;
  }

  /** Whether a job costs several times what jobs of this target cost typically. */
  isLong(subject: CostSubject): boolean {
    return this.#meanLog !== null &&
      this.estimate(subject).meanMs > LONG_RATIO * Math.exp(this.#meanLog);
  }

  /** The geometric mean, which a few long jobs hardly change. */
  get typicalMs(): number {
    return this.#meanLog === null ? this.#priorMs : Math.exp(this.#meanLog);
  }

  #claimClass(name: string): Moments {
    const known = this.#classes.get(name);
    if (known !== undefined) {
      return known;
    }
    const moments = { meanMs: 0, deviationMs: 0, count: 0 };
    if (this.#classes.size < MAX_CLASSES) {
      this.#classes.set(name, moments);
    }
    return moments;
  }

  #addLongKey(key: string, serviceMs: number): void {
    if (this.#longKeys.size >= MAX_LONG_KEYS) {
      const oldest = this.#longKeys.keys().next().value!;
      this.#longKeys.delete(oldest);
    }
    const moments = { meanMs: 0, deviationMs: 0, count: 0 };
    updateMoments(moments, serviceMs);
    this.#longKeys.set(key, moments);
  }

  #updateLongKey(
    key: string,
    known: Moments,
    ofClass: Moments,
    serviceMs: number,
  ): void {
    updateMoments(known, serviceMs);
    if (known.meanMs < LONG_RATIO * ofClass.meanMs) {
      this.#longKeys.delete(key);
    }
  }
}

function getClassName(subject: CostSubject): string {
  return subject.costClass ?? (subject.idempotent ? "lookup" : "change");
}

function updateMoments(moments: Moments, valueMs: number): void {
  if (moments.count === 0) {
    moments.meanMs = valueMs;
    moments.deviationMs = valueMs / 2;
    moments.count = 1;
    return;
  }
  const error = valueMs - moments.meanMs;
  const weight = LONG_RATIO * valueMs < moments.meanMs
    ? RECOVERY_SMOOTHING
    : SMOOTHING;
  moments.meanMs += weight * error;
  moments.deviationMs += weight * (Math.abs(error) - moments.deviationMs);
  moments.count++;
}
