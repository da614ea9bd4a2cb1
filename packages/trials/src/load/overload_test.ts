/** Too much is asked for; judged by what callers receive. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { DEPLOYMENTS } from "./deployments.ts";
import { getPattern } from "./patterns.ts";
import { runScenario } from "./scenario.ts";
import { ALL, VARIANTS } from "./variants.ts";

const SEEDS = [11, 12];

for (const deployment of DEPLOYMENTS) {
  // Callers ask for twice what the targets can do, for minutes. Half must be
  // told no. Told late, or not at all, they wait for nothing; and if the queue
  // stands at its bound, those that are served wait the longest time allowed.
  test(`${deployment.name}: 2x overload is answered or refused early`, () => {
    const pattern = getPattern("overload 2x");
    const figures = runScenario({
      deployment,
      pattern,
      variant: ALL,
      seeds: SEEDS,
    });
    assert.ok(figures.goodput >= 0.95, `goodput ${figures.goodput}`);
    assert.ok(figures.refusedEarlyShare >= 0.99);
    assert.equal(figures.unansweredShare, 0);
    assert.ok(figures.worstTreatment >= 0.8, `${figures.worstTreatment}`);
    assert.ok(figures.p99Ms! <= 300, `p99 ${figures.p99Ms} ms`);
  });

  // Ten times what the targets can do: nine in ten are told no. If refusing
  // cost the targets anything, little would be left for the tenth.
  test(`${deployment.name}: 10x overload leaves all capacity in use`, () => {
    const pattern = getPattern("overload 10x");
    const figures = runScenario({
      deployment,
      pattern,
      variant: ALL,
      seeds: SEEDS.slice(0, 1),
    });
    assert.ok(figures.goodput >= 0.95, `goodput ${figures.goodput}`);
    assert.ok(figures.refusedEarlyShare >= 0.99);
    assert.equal(figures.unansweredShare, 0);
  });

  // One client account sends a burst of five times the capacity, another time
  // twenty times its share without end. The others must notice next to nothing.
  for (const name of ["burst 5x for 1 s", "hot caller 20x"]) {
    test(`${deployment.name}: ${name} is no matter of the others`, () => {
      const figures = runScenario({
        deployment,
        pattern: getPattern(name),
        variant: ALL,
        seeds: SEEDS,
      });
      const ratio = figures.bystanderP99Ms! / figures.aloneP99Ms!;
      assert.ok(ratio <= 1.2, `the others' p99 is ${ratio} times theirs alone`);
      assert.ok(figures.refusedEarlyShare >= 0.99);
      assert.equal(figures.unansweredShare, 0);
    });
  }

  // A second of five times the load is refused, and all those callers come
  // back. Told one and the same time, they come back as the same burst, again
  // and again; spread, they come back as fast as the targets can serve them.
  test(`${deployment.name}: callers that all return are spread`, () => {
    const pattern = getPattern("all return at once");
    const runVariant = (name: string) =>
      runScenario({
        deployment,
        pattern,
        variant: VARIANTS.find((variant) => variant.name === name)!,
        seeds: SEEDS,
      });
    const spread = runVariant("all decisions");
    const hasty = runVariant("- spread return times");
    assert.ok(spread.goodput >= 0.93, `goodput ${spread.goodput}`);
    assert.ok(spread.goodput > hasty.goodput);
    assert.ok(spread.sendsPerCall < hasty.sendsPerCall);
    assert.equal(spread.unansweredShare, 0);
  });

  // Half of the callers hang up while they wait. What runs for them takes the
  // places of those that still wait.
  test(`${deployment.name}: what callers gave up on is not run`, () => {
    const figures = runScenario({
      deployment,
      pattern: getPattern("callers go away"),
      variant: ALL,
      seeds: SEEDS,
    });
    assert.ok(figures.goodput >= 0.8, `goodput ${figures.goodput}`);
    assert.equal(figures.unansweredShare, 0);
  });
}
