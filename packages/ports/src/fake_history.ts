/** What a target in memory writes down of its runs. */
import { createHash } from "node:crypto";
import type { RunEnding, TargetRun } from "./target_history.ts";

export interface FakeHistoryOptions {
  readonly target: string;
  readonly template: string;
  /** Told of every start and end of a run, before anything else happens. */
  readonly recordRun?: (run: TargetRun) => void;
}

/** What a run's start says of it. */
export type StartedRun = Omit<
  TargetRun,
  "target" | "template" | "endedAtMs" | "ending" | "answerDigest"
>;

export class FakeHistory {
  readonly #options: FakeHistoryOptions;
  readonly #runs: TargetRun[] = [];

  constructor(options: FakeHistoryOptions) {
    this.#options = options;
  }

  list(): readonly TargetRun[] {
    return this.#runs;
  }

  /** Gives the place of the run in the history. */
  recordStart(started: StartedRun): number {
    const { target, template, recordRun } = this.#options;
    const run: TargetRun = {
      target,
      template,
      ...started,
      endedAtMs: null,
      ending: "running",
    };
    recordRun?.(run);
    return this.#runs.push(run) - 1;
  }

  /** Gives the answer, which says whose it is, so that a mix-up shows. */
  recordEnd(
    place: number,
    ending: Exclude<RunEnding, "killed" | "running">,
    endedAtMs: number,
  ): Uint8Array {
    const { target, requestId, key, unit, unitToken } = this.#runs[place]!;
    const answer = { target, requestId, key, unit, unitToken, ending };
    const body = Buffer.from(JSON.stringify(answer));
    const answerDigest = createHash("sha256").update(body).digest("hex");
    this.#updateRun(place, { ending, endedAtMs, answerDigest });
    return body;
  }

  /** The process ended in the middle of the run. */
  recordKill(place: number, endedAtMs: number): void {
    this.#updateRun(place, { ending: "killed", endedAtMs });
  }

  #updateRun(place: number, end: Partial<TargetRun>): void {
    const run = { ...this.#runs[place]!, ...end };
    this.#runs[place] = run;
    this.#options.recordRun?.(run);
  }
}
