import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { Route } from "@lentilspur/ports/routing_table";
import { WeightedSplitter } from "./weighted_splitter.ts";

function createRoute(weights: readonly number[]): Route {
  return {
    name: "r",
    match: { kind: "prefix", host: "a", pathPrefix: "/" },
    idempotent: false,
    timeoutMs: 1_000,
    goalMs: 200,
    maxAttempts: 1,
    priority: 0,
    parts: weights.map((weight, index) => ({ service: `s${index}`, weight })),
  };
}

test("every part stays within as many requests of its share as there are parts", () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: 100 }), {
        minLength: 1,
        maxLength: 4,
      }),
      (weights) => {
        const route = createRoute(weights);
        const splitter = new WeightedSplitter();
        const total = weights.reduce((sum, weight) => sum + weight, 0);
        const counts = new Map<string, number>();
        for (let sent = 1; sent <= 300; sent++) {
          const service = splitter.choose(route);
          counts.set(service, (counts.get(service) ?? 0) + 1);
          for (const { service: name, weight } of route.parts) {
            const share = sent * weight / total;
            assert.ok(
              Math.abs((counts.get(name) ?? 0) - share) <= weights.length,
            );
          }
        }
      },
    ),
    { seed: 17, numRuns: 50 },
  );
});
