/**
 * Runs one pattern under one variant over a deployment's templates and several
 * seeds, and sums up what callers received.
 */
import { CallResults, getPercentileMs } from "./call_results.ts";
import { type Deployment, PLACES_PER_TARGET } from "./deployments.ts";
import { computeWorstTreatment } from "./fair_share.ts";
import { GroupSimulation } from "./group_simulation.ts";
import { END_MS, type LoadPattern, WARM_UP_MS } from "./patterns.ts";
import type { Variant } from "./variants.ts";

export interface Scenario {
  readonly deployment: Deployment;
  readonly pattern: LoadPattern;
  readonly variant: Variant;
  readonly seeds: readonly number[];
}

export interface ScenarioFigures {
  /** Answered work as a share of what was asked or, if less, of capacity. */
  readonly goodput: number;
  readonly p50Ms: number | null;
  readonly p99Ms: number | null;
  readonly p999Ms: number | null;
  /** The bystanders' p99, and what they have alone. */
  readonly bystanderP99Ms: number | null;
  readonly aloneP99Ms: number | null;
  readonly refusedShare: number;
  /** Of the refused, those told within a tenth of their deadline. */
  readonly refusedEarlyShare: number;
  readonly refusalP99Ms: number | null;
  /** Told nothing before the deadline. */
  readonly unansweredShare: number;
  readonly unknownShare: number;
  /** Sends for each first send. */
  readonly sendsPerCall: number;
  /** Decisions of targets' queues for each request sent by a caller. */
  readonly offersPerCall: number;
  /** The worst-treated client account's part of its fair share. */
  readonly worstTreatment: number;
  /** Busiest target over the mean. */
  readonly imbalance: number;
  /** Units moved, as a share of all. */
  readonly churn: number;
  /** Time that units were not served for moves, in seconds of one unit. */
  readonly unservedS: number;
  /** When the first hot key had its own unit, since it became hot. */
  readonly hotKeyPlacedMs: number | null;
  readonly hotKeyMoves: number;
}

export function runScenario(scenario: Scenario): ScenarioFigures {
  const runs = runGroups(scenario, scenario.pattern.streams);
  const aloneP99Ms = computeAloneP99Ms(scenario);
  const results = new CallResults();
  for (const run of runs) {
    results.merge(run.results);
  }
  const ended = results.answered + results.refused + results.unknown +
    results.unanswered;
  return {
    goodput: computeMean(runs.map(computeGoodput)),
    p50Ms: getPercentileMs(results.latencies, 50),
    p99Ms: getPercentileMs(results.latencies, 99),
    p999Ms: getPercentileMs(results.latencies, 99.9),
    bystanderP99Ms: getPercentileMs(results.bystanderLatencies, 99),
    aloneP99Ms,
    refusedShare: results.refused / ended,
    refusedEarlyShare: results.refused === 0
      ? 1
      : results.refusedEarly / results.refused,
    refusalP99Ms: getPercentileMs(results.refusals, 99),
    unansweredShare: results.unanswered / ended,
    unknownShare: results.unknown / ended,
    sendsPerCall: results.sends / Math.max(1, results.firstSends),
    offersPerCall: results.offers / Math.max(1, results.sends),
    worstTreatment: Math.min(...runs.map(computeTreatment)),
    imbalance: computeMean(runs.map(computeImbalance)),
    churn: computeMean(
      runs.map(({ planner: { units } }) => units.moves / units.size),
    ),
    unservedS: computeMean(
      runs.map(({ planner: { units } }) => units.stoppedMs / 1_000),
    ),
    hotKeyPlacedMs: computeHotKeyPlacedMs(runs),
    hotKeyMoves: computeMean(
      runs.map(({ planner: { units } }) => units.hotKeyMoves),
    ),
  };
}

function runGroups(
  scenario: Scenario,
  streams: LoadPattern["streams"],
): readonly GroupSimulation[] {
  const { deployment, pattern, variant } = scenario;
  const runs: GroupSimulation[] = [];
  for (const seed of scenario.seeds) {
    for (const group of deployment.groups) {
      const run = new GroupSimulation({
        deployment,
        group,
        pattern,
        streams,
        variant,
        seed,
      });
      run.run();
      runs.push(run);
    }
  }
  return runs;
}

/** Several patterns have the same calm run. */
const aloneCache = new Map<string, number | null>();

/** What bystanders have under the same decisions when nothing is wrong. */
function computeAloneP99Ms(scenario: Scenario): number | null {
  const { deployment, pattern, variant, seeds } = scenario;
  const streams = JSON.stringify(pattern.calm);
  const name = [deployment.name, variant.name, streams, ...seeds].join();
  const known = aloneCache.get(name);
  if (known !== undefined) {
    return known;
  }
  const calm: LoadPattern = {
    name: pattern.name,
    streams: pattern.calm,
    calm: pattern.calm,
  };
  const results = new CallResults();
  for (const run of runGroups({ ...scenario, pattern: calm }, pattern.calm)) {
    results.merge(run.results);
  }
  const p99Ms = getPercentileMs(results.bystanderLatencies, 99);
  aloneCache.set(name, p99Ms);
  return p99Ms;
}

function computeGoodput(run: GroupSimulation): number {
  const askedMs = computeSum(run.results.askedMs);
  const servedMs = computeSum(run.results.servedMs);
  return servedMs / Math.min(askedMs, computeCapacityMs(run));
}

function computeTreatment(run: GroupSimulation): number {
  return computeWorstTreatment(
    run.results.askedMs,
    run.results.servedMs,
    computeCapacityMs(run),
  );
}

function computeCapacityMs(run: GroupSimulation): number {
  const places = run.options.group.targets * PLACES_PER_TARGET;
  return places * (END_MS - WARM_UP_MS);
}

function computeImbalance(run: GroupSimulation): number {
  const busy = [...run.members.values()].map(({ target }) => target.busyMs);
  return Math.max(...busy) / computeMean(busy);
}

function computeHotKeyPlacedMs(
  runs: readonly GroupSimulation[],
): number | null {
  const times: number[] = [];
  for (const { planner, options } of runs) {
    const since = options.streams.find(({ key }) => key !== null)?.fromMs;
    if (since !== undefined && planner.hotKeyPlacedAtMs !== null) {
      times.push(planner.hotKeyPlacedAtMs - since);
    }
  }
  return times.length === 0 ? null : Math.max(...times);
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function computeSum(map: ReadonlyMap<number, number>): number {
  return [...map.values()].reduce((sum, value) => sum + value, 0);
}
