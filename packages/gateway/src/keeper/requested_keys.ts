/**
 * Gathers the keys that this instance was asked for, and tells them to the
 * keeper of their service a few times a second.
 */

/** A datagram's worth; in a burst the rest is a sample that is left out. */
const MAX_KEYS = 150;

export class RequestedKeys {
  readonly #keys = new Map<string, number[]>();

  observe(service: string, key: number): void {
    const keys = this.#keys.get(service);
    if (keys === undefined) {
      this.#keys.set(service, [key]);
    } else if (keys.length < MAX_KEYS) {
      keys.push(key);
    }
  }

  /** What came together since the last call. */
  take(): ReadonlyMap<string, readonly number[]> {
    const taken = new Map(this.#keys);
    this.#keys.clear();
    return taken;
  }
}
