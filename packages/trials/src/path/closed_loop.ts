/** One client that keeps a fixed number of requests in progress. */
import { build, type Histogram } from "hdr-histogram-js";
import { Pool } from "undici";

/** Microseconds; far above any answer of these measurements. */
const HIGHEST_US = 60_000_000;
const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

export interface LoopOptions {
  readonly address: string;
  /** Used in turn. */
  readonly paths: readonly string[];
  readonly method: "GET" | "POST";
  readonly headers: Readonly<Record<string, string>>;
  readonly concurrency: number;
  readonly durationMs: number;
}

/** What one way showed, over all its rounds. */
export class LoopRecord {
  readonly #histogram: Histogram = build({ highestTrackableValue: HIGHEST_US });
  #requests = 0;
  #failures = 0;
  #tookMs = 0;

  recordAnswer(tookMs: number, status: number): void {
    this.#histogram.recordValue(Math.round(tookMs * US_PER_MS));
    this.#requests++;
    this.#failures += status === 200 ? 0 : 1;
  }

  recordRound(tookMs: number): void {
    this.#tookMs += tookMs;
  }

  get requests(): number {
    return this.#requests;
  }

  /** Answers other than 200. */
  get failures(): number {
    return this.#failures;
  }

  get requestsPerSecond(): number {
    return this.#requests / this.#tookMs * MS_PER_SECOND;
  }

  getPercentileMs(percentile: number): number {
    return this.#histogram.getValueAtPercentile(percentile) / US_PER_MS;
  }
}

/** Runs one round. */
export async function runClosedLoop(
  options: LoopOptions,
  record: LoopRecord,
): Promise<void> {
  const pool = new Pool(`http://${options.address}`, {
    connections: options.concurrency,
  });
  const startedAtMs = performance.now();
  const untilMs = startedAtMs + options.durationMs;
  await Promise.all(
    Array.from(
      { length: options.concurrency },
      (_, lane) => runLane(pool, options, { lane, untilMs, record }),
    ),
  );
  record.recordRound(performance.now() - startedAtMs);
  await pool.close();
}

async function runLane(
  pool: Pool,
  options: LoopOptions,
  round: {
    readonly lane: number;
    readonly untilMs: number;
    readonly record: LoopRecord;
  },
): Promise<void> {
  const { paths, method, headers, concurrency } = options;
  for (let turn = round.lane;; turn += concurrency) {
    const sentAtMs = performance.now();
    if (sentAtMs >= round.untilMs) {
      return;
    }
    const path = paths[turn % paths.length]!;
    const answer = await pool.request({ path, method, headers });
    await answer.body.dump();
    round.record.recordAnswer(performance.now() - sentAtMs, answer.statusCode);
  }
}
