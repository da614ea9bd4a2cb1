import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  type ConnectionRequest,
  ConnectionRequests,
} from "./connection_requests.ts";

type Step =
  | {
    readonly kind: "read";
    readonly isIdempotent: boolean;
    readonly endsConnection: boolean;
  }
  /** A target answers one of the requests that were passed on. */
  | { readonly kind: "answer"; readonly index: number; readonly wants: boolean }
  | { readonly kind: "drain" }
  /** What follows on the connection is refused. */
  | { readonly kind: "refuse" };

interface Tracked {
  readonly request: ConnectionRequest;
  readonly isIdempotent: boolean;
  state: "held" | "passed-on" | "answered";
  hasEnded: boolean;
}

const STEP: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant("read" as const),
      isIdempotent: fc.boolean(),
      endsConnection: fc.integer({ min: 0, max: 30 }).map((n) => n === 0),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("answer" as const),
      index: fc.nat(40),
      wants: fc.integer({ min: 0, max: 20 }).map((n) => n === 0),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: "drain" as const }) },
);

const STEP_OR_REFUSAL: fc.Arbitrary<Step> = fc.oneof(
  { weight: 15, arbitrary: STEP },
  { weight: 1, arbitrary: fc.constant({ kind: "refuse" as const }) },
);

/** Runs steps on one connection and asserts what holds after each. */
class Trial {
  readonly #requests = new ConnectionRequests();
  readonly #tracked: Tracked[] = [];
  #hasClosed = false;
  /** Number of requests that were read before the refusal. */
  #readBeforeRefusal = Infinity;
  #refusals = 0;

  async run(steps: readonly Step[]): Promise<void> {
    for (const step of steps) {
      this.#apply(step);
      await new Promise((resolve) => setImmediate(resolve));
      this.#assertInvariants();
    }
  }

  #apply(step: Step): void {
    switch (step.kind) {
      case "read":
        this.#read(step);
        return;
      case "answer": {
        const running = this.#tracked.filter(({ state }) =>
          state === "passed-on"
        );
        const tracked = running[step.index % Math.max(1, running.length)];
        if (tracked !== undefined) {
          void this.#answer(tracked, step.wants);
        }
        return;
      }
      case "drain":
        this.#requests.drain();
        return;
      case "refuse":
        this.#refuse();
    }
  }

  #refuse(): void {
    this.#readBeforeRefusal = Math.min(
      this.#readBeforeRefusal,
      this.#tracked.length,
    );
    this.#requests.closeAfterAll(() => {
      this.#refusals++;
      const before = this.#tracked.slice(0, this.#readBeforeRefusal);
      assert.ok(before.every(({ state }) => state === "answered"));
    });
  }

  #read(step: Step & { readonly kind: "read" }): void {
    const tracked: Tracked = {
      request: {
        isRead: () => true,
        cancel: () => assert.fail("no caller leaves"),
        end: () => tracked.hasEnded = true,
      },
      isIdempotent: step.isIdempotent,
      state: "held",
      hasEnded: false,
    };
    const index = this.#tracked.push(tracked) - 1;
    this.#requests.add(tracked.request);
    const turn = this.#requests.waitForTurn(tracked.request, {
      bytes: 0,
      ...step,
    });
    void turn.then((mayRun) => {
      tracked.state = mayRun ? "passed-on" : "held";
      assert.ok(!mayRun || !this.#hasClosed, "passed on behind a close");
      assert.ok(!mayRun || index < this.#readBeforeRefusal, "refused and run");
    });
  }

  async #answer(tracked: Tracked, wantsToClose: boolean): Promise<void> {
    assert.ok(await this.#requests.waitForResponseTurn(tracked.request));
    if (wantsToClose && this.#requests.mayClose(tracked.request)) {
      this.#hasClosed = true;
      this.#requests.closeAfter(tracked.request);
    }
    tracked.state = "answered";
    this.#requests.remove(tracked.request);
  }

  #assertInvariants(): void {
    const states = this.#tracked.map(({ state }) => state);
    const firstUnanswered = states.findIndex((state) => state !== "answered");
    assert.ok(
      states.lastIndexOf("answered") < Math.max(firstUnanswered, 0) ||
        firstUnanswered < 0,
      "responses keep their order",
    );
    const running = this.#tracked.filter(({ state }) => state === "passed-on");
    assert.ok(this.#refusals <= 1, "one refusal");
    assert.ok(running.length <= 32);
    assert.ok(running.every(({ hasEnded }) => !hasEnded), "passed on and cut");
    for (const [index, tracked] of this.#tracked.entries()) {
      const isBehind = index > firstUnanswered;
      assert.ok(
        tracked.isIdempotent || tracked.state !== "passed-on" || !isBehind,
        "one that may run once was passed on behind another",
      );
    }
  }
}

test("no request is passed on behind a close, and none that was is cut off", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(STEP, { maxLength: 120 }),
      (steps) => new Trial().run(steps),
    ),
    { seed: 49, numRuns: 300 },
  );
});

test("no request that is read behind a refusal is passed on, and none before it is left out", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(STEP_OR_REFUSAL, { maxLength: 120 }),
      (steps) => new Trial().run(steps),
    ),
    { seed: 80, numRuns: 300 },
  );
});
