/** Keeps when the ends of targets were proved, here or at other instances. */
import { removeOldest } from "./bounded_collections.ts";

const MAX_INCARNATIONS = 1_024;

export class ProvedEnds {
  /** As early as is known, by incarnation. */
  readonly #endedAtMs = new Map<string, number>();
  /** Incarnations that have responded here after a proof. */
  readonly #outlived = new Set<string>();

  get(incarnation: string): number | undefined {
    return this.#endedAtMs.get(incarnation);
  }

  /** Records a proof; one that the target has outlived counts as wrong. */
  record(incarnation: string, provedAtMs: number): void {
    if (this.#outlived.has(incarnation)) {
      return;
    }
    const known = this.#endedAtMs.get(incarnation) ?? Infinity;
    this.#endedAtMs.delete(incarnation);
    this.#endedAtMs.set(incarnation, Math.min(known, provedAtMs));
    removeOldest(this.#endedAtMs, MAX_INCARNATIONS);
  }

  /**
   * Records that a target has responded to a request. If it was sent after the
   * proof of the target's end, neither this proof nor later ones count.
   */
  recordResponse(incarnation: string, sentAtMs: number): void {
    if (this.isBefore(incarnation, sentAtMs)) {
      this.#endedAtMs.delete(incarnation);
      this.#outlived.add(incarnation);
      removeOldest(this.#outlived, MAX_INCARNATIONS);
    }
  }

  /** Whether the target's end was proved before a time. */
  isBefore(incarnation: string, atMs: number): boolean {
    return atMs > (this.#endedAtMs.get(incarnation) ?? Infinity);
  }
}
