/**
 * Keeps which targets have ended, as proved by another process that answered at
 * their address. Entries prove nothing: they outlive their targets, and the
 * order in which an instance reads two of them says nothing about which target
 * started first.
 */
import {
  formatTargetIncarnation,
  type TargetIncarnation,
} from "@lentilspur/routing/target_incarnation";

/** About a day of a fleet with 4,600 restarts a day. */
const MAX_INCARNATIONS = 5_000;

export class ReplacedTargets {
  readonly #incarnations = new Set<string>();

  has(incarnation: TargetIncarnation): boolean {
    return this.#incarnations.has(formatTargetIncarnation(incarnation));
  }

  record(incarnation: TargetIncarnation): void {
    this.#incarnations.add(formatTargetIncarnation(incarnation));
    if (this.#incarnations.size > MAX_INCARNATIONS) {
      this.#incarnations.delete(this.#incarnations.values().next().value!);
    }
  }
}
