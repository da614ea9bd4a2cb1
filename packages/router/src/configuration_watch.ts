/** Notes when a configuration comes into force here, and for how long it is. */
import { parseEnvelope } from "@lentilspur/state/entry_schema";
import type { ReplicaEvent } from "@lentilspur/transport/folded_log";
import type { Clock } from "@lentilspur/ports/clock";
import type { DecisionSink } from "@lentilspur/proof/decision_line";

export interface ConfigurationWatchOptions {
  readonly clock: Clock;
  readonly decisions: DecisionSink;
  /** The version as folded now. */
  readonly readVersion: () => number;
}

export class ConfigurationWatch {
  readonly #options: ConfigurationWatchOptions;
  #version = 0;
  #sinceMs: number;

  constructor(options: ConfigurationWatchOptions) {
    this.#options = options;
    this.#sinceMs = options.clock.readMs();
  }

  /** Milliseconds since this instance took the present version up. */
  get inForceSinceMs(): number {
    return this.#options.clock.readMs() - this.#sinceMs;
  }

  /** Follows the replica; a fold is in force as soon as it is done. */
  observe(event: ReplicaEvent): void {
    const version = this.#options.readVersion();
    if (version === this.#version) {
      return;
    }
    this.#version = version;
    this.#sinceMs = this.#options.clock.readMs();
    if (event.kind === "folded") {
      this.#logPublications(event, version);
    }
  }

  /** One record may publish more than once; each gets its line. */
  #logPublications(
    event: Extract<ReplicaEvent, { readonly kind: "folded" }>,
    lastVersion: number,
  ): void {
    const entries = parseEnvelope(event.record.payload)?.entries ?? [];
    const positions = event.verdicts.flatMap((verdict, index) =>
      verdict.kind === "accepted" &&
        entries[index]?.kind === "configuration-published"
        ? [verdict.position]
        : []
    );
    positions.forEach((position, index) =>
      this.#options.decisions.log({
        decision: "configuration-in-force",
        version: lastVersion - (positions.length - 1 - index),
        position,
      })
    );
  }
}
