import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "@lentilspur/ports/seeded_random";
import { DEFAULT_RESTART_RATIO, RestartTimeout } from "./restart_timeout.ts";

/** Runs of a request, as multiples of the usual time. */
interface Runs {
  /** Share of runs that take `tail` times as long. */
  readonly tailShare: number;
  readonly tail: number;
}

const EXPECTED_MS = 500;
const GOAL_MS = 1_500;
const GOAL_RATIO = GOAL_MS / EXPECTED_MS;
const REQUESTS = 4_000;

/** The caller of a request that is run again when it is overdue. */
function runRequests(
  timeout: RestartTimeout,
  runs: Runs,
): { readonly inTime: number; readonly repeats: number } {
  const random = new SeededRandom(7);
  const drawMs = () =>
    EXPECTED_MS * (0.6 + 0.8 * random.draw()) *
    (random.draw() < runs.tailShare ? runs.tail : 1);
  let inTime = 0;
  let repeats = 0;
  for (let request = 0; request < REQUESTS; request++) {
    const firstMs = drawMs();
    const overdueMs = timeout.chooseRatio(GOAL_RATIO) * EXPECTED_MS;
    if (firstMs <= overdueMs) {
      timeout.recordResponse(firstMs, EXPECTED_MS);
      inTime += firstMs <= GOAL_MS ? 1 : 0;
      continue;
    }
    timeout.recordAborted(overdueMs, EXPECTED_MS);
    repeats++;
    inTime += overdueMs + drawMs() <= GOAL_MS ? 1 : 0;
  }
  return { inTime: inTime / REQUESTS, repeats: repeats / REQUESTS };
}

test("a long run of a few requests in a hundred does not make their callers miss the goal", () => {
  const { inTime, repeats } = runRequests(new RestartTimeout(), {
    tailShare: 0.03,
    tail: 7,
  });
  // Without restarts 97 in 100 are in time.
  assert.ok(inTime >= 0.99, `${inTime} in time`);
  assert.ok(repeats <= 0.05, `${repeats} of the requests ran twice`);
});

test("requests do not run twice where run times have no long tail", () => {
  const { repeats } = runRequests(new RestartTimeout(), {
    tailShare: 0.01,
    tail: 2,
  });
  assert.equal(repeats, 0);
});

test("requests do not run twice where a fifth of the targets is slow for a while", () => {
  const { repeats } = runRequests(new RestartTimeout(), {
    tailShare: 0.2,
    tail: 3,
  });
  assert.ok(repeats <= 0.1, `${repeats} of the requests ran twice`);
});

test("a few responses do not change the timeout", () => {
  const timeout = new RestartTimeout();
  for (let count = 0; count < 20; count++) {
    timeout.recordResponse(EXPECTED_MS, EXPECTED_MS);
  }
  timeout.recordResponse(8 * EXPECTED_MS, EXPECTED_MS);
  assert.equal(timeout.chooseRatio(GOAL_RATIO), DEFAULT_RESTART_RATIO);
});

test("the timeout follows targets that have become slow for all requests", () => {
  const timeout = new RestartTimeout();
  runRequests(timeout, { tailShare: 0.03, tail: 7 });
  assert.ok(timeout.chooseRatio(GOAL_RATIO) < DEFAULT_RESTART_RATIO);
  for (let count = 0; count < 400; count++) {
    timeout.recordResponse(3 * EXPECTED_MS, EXPECTED_MS);
  }
  assert.equal(timeout.chooseRatio(GOAL_RATIO), DEFAULT_RESTART_RATIO);
});
