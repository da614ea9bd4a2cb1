/**
 * Decides when a request that the owner of its key has refused, without running
 * it, is sent to that owner again.
 *
 * Load pattern: for seconds, all targets of a keyed service turn away half of
 * what they get at random, although they have free places. No other target may
 * run the request, so a repeat at the same one is all that helps; it is accepted
 * as often as any other request. An owner without a free place refuses repeats
 * as well until one of its requests has ended.
 */
import type { Random } from "@lentilspur/ports/clock";

export interface OwnerRefusal {
  /** How often targets have refused the request, with this time. */
  readonly refusals: number;
  /** Whether the owner has reported that all its places are in use. */
  readonly isFull: boolean;
  /** Usual processing time of one request. */
  readonly serviceMs: number;
}

/** Pause before the first repeat; doubled with each further one. */
const FIRST_PAUSE_MS = 30;
/** Repeats at an owner without a free place. */
const MAX_FULL_REPEATS = 1;

/** Returns the pause before the next send, or undefined if it is no use. */
export function computeRepeatPauseMs(
  { refusals, isFull, serviceMs }: OwnerRefusal,
  random: Random,
): number | undefined {
  if (isFull && refusals > MAX_FULL_REPEATS) {
    return undefined;
  }
  const pauseMs = FIRST_PAUSE_MS * 2 ** (refusals - 1);
  // Requests that are refused at the same moment return at different ones.
  const jitter = 0.5 + random.draw();
  return jitter * (isFull ? Math.max(pauseMs, serviceMs) : pauseMs);
}
