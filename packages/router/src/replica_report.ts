/** Says in the instance's log what its replica met that people must know. */
import type { ReplicaEvent } from "@lentilspur/transport/folded_log";
import type { Clock } from "@lentilspur/ports/clock";

export interface ReplicaReportOptions {
  readonly clock: Clock;
  readonly report: (level: "info" | "error", message: string) => void;
}

/** A replica that waits tells so with each attempt; one line is enough. */
const REPEAT_MS = 30_000;

export class ReplicaReport {
  readonly #options: ReplicaReportOptions;
  #last = "";
  #lastAtMs = -Infinity;

  constructor(options: ReplicaReportOptions) {
    this.#options = options;
  }

  observe(event: ReplicaEvent): void {
    const line = describeEvent(event);
    if (line === undefined) {
      return;
    }
    const nowMs = this.#options.clock.readMs();
    const isRepeated = line.message === this.#last &&
      nowMs - this.#lastAtMs < REPEAT_MS;
    if (!isRepeated) {
      this.#last = line.message;
      this.#lastAtMs = nowMs;
      this.#options.report(line.level, line.message);
    }
  }
}

function describeEvent(
  event: ReplicaEvent,
): { readonly level: "info" | "error"; readonly message: string } | undefined {
  switch (event.kind) {
    case "folded":
      return undefined;
    case "checkpoint-written":
      return {
        level: "info",
        message: `checkpoint-written: the state at offset ${event.nextOffset}`,
      };
    case "history-skipped":
      return {
        level: "error",
        message:
          `history-skipped: went on from a checkpoint at ${event.toOffset}, having folded up to ${event.fromOffset}`,
      };
    case "history-missing":
      return {
        level: "error",
        message:
          `history-missing: the log begins at ${event.firstOffset} and no checkpoint covers what is gone; keep an instance running that has it`,
      };
    case "log-regressed":
      return {
        level: "error",
        message:
          `log-regressed: the log ends at ${event.nextOffset}, before what was read from it; have its tail restored`,
      };
    case "replicas-diverged":
      return {
        level: "error",
        message:
          `replicas-diverged: checkpoint "${event.checkpoint}" holds another state at ${event.nextOffset}; keep the logs of both writers`,
      };
    case "checkpoint-broken":
      return {
        level: "error",
        message:
          `checkpoint-broken: the parts of "${event.checkpoint}" do not make the state that they announce`,
      };
  }
}
