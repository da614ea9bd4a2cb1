/**
 * How many of a target's places are used at one time: never more than it
 * declares, and fewer while it shows that it does not sustain them.
 *
 * Load pattern: a target that has just started, or that shares its machine
 * with something else, refuses or stalls what its declared places would allow.
 * Without this limit every second dispatch is wasted on a refusal, and jobs
 * pile up in a place that does nothing. Additive increase and multiplicative
 * decrease, as congestion control does.
 */
import type { ServiceObservation } from "./scheduled_job.ts";

/** Lowers the limit on each refusal or timeout; two of them halve it. */
const DECREASE_FACTOR = 0.7;
/** Completions in a row that raise the limit by one place. */
const COMPLETIONS_PER_PLACE = 20;
/** A target of unknown warmth starts with one place. */
const COLD_LIMIT = 1;
/** Pause after a refusal with only one place in use; doubles with each. */
const FIRST_PAUSE_MS = 10;
/** Longest pause; a target that recovers is found again within this. */
const MAX_PAUSE_MS = 1_000;

export class ConcurrencyLimit {
  readonly #places: number;
  #limit: number;
  #pauseMs = FIRST_PAUSE_MS;
  #pausedUntilMs = -Infinity;

  constructor(places: number, options: { readonly cold?: boolean } = {}) {
    this.#places = places;
    this.#limit = options.cold === true ? COLD_LIMIT : places;
  }

  /** Whole places that may be in use at a time; at least one. */
  get places(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  /** Before this time nothing is sent. */
  get pausedUntilMs(): number {
    return this.#pausedUntilMs;
  }

  observe(kind: ServiceObservation["kind"], nowMs: number): void {
    switch (kind) {
      case "completed":
        this.#limit = Math.min(
          this.#places,
          this.#limit + 1 / COMPLETIONS_PER_PLACE,
        );
        this.#pauseMs = FIRST_PAUSE_MS;
        return;
      case "shed-by-target":
        this.#applyRefusal(nowMs);
        return;
      case "timed-out":
        this.#limit = Math.max(1, this.#limit * DECREASE_FACTOR);
        return;
      case "failed":
        return;
    }
  }

  #applyRefusal(nowMs: number): void {
    if (this.places === 1) {
      this.#pausedUntilMs = nowMs + this.#pauseMs;
      this.#pauseMs = Math.min(MAX_PAUSE_MS, this.#pauseMs * 2);
    }
    this.#limit = Math.max(1, this.#limit * DECREASE_FACTOR);
  }
}
