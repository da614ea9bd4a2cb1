/**
 * Records which data centres operators have evacuated, and since when. The
 * targets of an evacuated data centre get no new work.
 */

export class Evacuations {
  /** Since when each data centre has been evacuated, by the local clock. */
  readonly #sinceMs = new Map<string, number>();

  /** Returns true if the state has changed. */
  apply(dataCentre: string, isEvacuated: boolean, nowMs: number): boolean {
    if (isEvacuated === this.#sinceMs.has(dataCentre)) {
      return false;
    }
    if (isEvacuated) {
      this.#sinceMs.set(dataCentre, nowMs);
    } else {
      this.#sinceMs.delete(dataCentre);
    }
    return true;
  }

  getSinceMs(dataCentre: string): number | null {
    return this.#sinceMs.get(dataCentre) ?? null;
  }

  /** In alphabetical order. */
  list(): readonly string[] {
    return [...this.#sinceMs.keys()].toSorted();
  }
}
