/**
 * Which data centres operators have taken out of use, and since when. Nothing
 * new is sent to the targets of an evacuated data centre.
 */

export class Evacuations {
  /** By data centre, since when it is evacuated; own clock. */
  readonly #sinceMs = new Map<string, number>();

  /** True where it changes anything. */
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
