/** Something is wrong with a target or a key; judged by what callers receive. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Deployment, DEPLOYMENTS } from "./deployments.ts";
import { getPattern } from "./patterns.ts";
import { runScenario, type ScenarioFigures } from "./scenario.ts";
import { ALL } from "./variants.ts";

const SEEDS = [11, 12];

function runPattern(deployment: Deployment, name: string): ScenarioFigures {
  return runScenario({
    deployment,
    pattern: getPattern(name),
    variant: ALL,
    seeds: SEEDS,
  });
}

function computeHarm(figures: ScenarioFigures): number {
  return figures.bystanderP99Ms! / figures.aloneP99Ms!;
}

for (const deployment of DEPLOYMENTS) {
  // One target takes four times as long, or stops for 3 s. Callers of keys on
  // the other targets must not notice, and those of its own keys must be told
  // instead of being left to wait.
  for (const name of ["slow target 4x", "target stops 3 s"]) {
    test(`${deployment.name}: ${name}, and only its keys are harmed`, () => {
      const figures = runPattern(deployment, name);
      assert.ok(computeHarm(figures) <= 1.2, `${computeHarm(figures)}`);
      assert.ok(figures.goodput >= 0.94, `goodput ${figures.goodput}`);
      assert.ok(figures.unansweredShare <= 0.002);
    });
  }

  // A target declares 2 places and refuses the second request. Sent to anyway,
  // every second dispatch is lost.
  test(`${deployment.name}: a target is sent only what it sustains`, () => {
    const figures = runPattern(deployment, "target sustains 1");
    assert.ok(figures.goodput >= 0.98, `goodput ${figures.goodput}`);
    assert.ok(computeHarm(figures) <= 1.2, `${computeHarm(figures)}`);
  });

  // One answer in a hundred is lost on the way. If its place stays taken until
  // its deadline, the targets soon have no place left.
  test(`${deployment.name}: lost answers do not use up the places`, () => {
    const figures = runPattern(deployment, "1% of answers lost");
    assert.ok(figures.goodput >= 0.95, `goodput ${figures.goodput}`);
  });

  // Long jobs are half of the work. If both places of a target hold long ones,
  // every lookup there waits for one of them to end.
  test(`${deployment.name}: short jobs pass long ones, and both are done`, () => {
    const figures = runPattern(deployment, "long among short");
    assert.ok(computeHarm(figures) <= 2, `${computeHarm(figures)}`);
    assert.ok(figures.goodput >= 0.9, `goodput ${figures.goodput}`);
  });

  // Two keys of one shard become so hot that their target cannot do both.
  // Moving the shard would take them along together.
  test(`${deployment.name}: a hot key gets a unit of its own within 10 s`, () => {
    const figures = runPattern(deployment, "two hot keys");
    assert.ok(figures.hotKeyPlacedMs !== null);
    assert.ok(figures.hotKeyPlacedMs <= 10_000);
    assert.ok(figures.hotKeyMoves <= 2, `${figures.hotKeyMoves} keys moved`);
    assert.ok(figures.goodput >= 0.98, `goodput ${figures.goodput}`);
  });

  // A cold target joins at 80% use. Given its part at once, it is slow for
  // everyone who is moved to it.
  test(`${deployment.name}: a cold target joins unnoticed`, () => {
    const figures = runPattern(deployment, "cold join");
    assert.ok(computeHarm(figures) <= 1.2, `${computeHarm(figures)}`);
    assert.ok(figures.churn > 0 && figures.churn <= 1.1 / 8);
    assert.ok(figures.goodput >= 0.98, `goodput ${figures.goodput}`);
  });

  // One target always says that it is idle, another that it is full. Believed,
  // they would draw units to the one and drive them from the other for ever.
  test(`${deployment.name}: a misleading report moves next to nothing`, () => {
    const figures = runPattern(deployment, "misleading report");
    assert.ok(figures.churn <= 0.01, `churn ${figures.churn}`);
    assert.ok(figures.goodput >= 0.98, `goodput ${figures.goodput}`);
  });
}
