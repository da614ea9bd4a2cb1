/**
 * Collects the keys that callers requested from this instance, so that it can
 * report them to the keeper of their service a few times a second.
 */

/**
 * Keys that fit into one datagram. In a burst, further keys are left out, which
 * makes the report a sample.
 */
const MAX_KEYS = 150;

export class RequestedKeys {
  readonly #keys = new Map<string, number[]>();

  /** Records one request for a key. */
  record(service: string, key: number): void {
    const keys = this.#keys.get(service);
    if (keys === undefined) {
      this.#keys.set(service, [key]);
    } else if (keys.length < MAX_KEYS) {
      keys.push(key);
    }
  }

  /** Returns the keys collected since the last call and clears them. */
  take(): ReadonlyMap<string, readonly number[]> {
    const taken = new Map(this.#keys);
    this.#keys.clear();
    return taken;
  }
}
