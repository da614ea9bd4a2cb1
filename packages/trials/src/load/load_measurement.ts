/** `npm run measure -- load`: what each decision does for callers. */
import type {
  Cell,
  MeasuredReport,
  MeasuredTable,
  Measurement,
} from "../measurement.ts";
import { type Deployment, DEPLOYMENTS } from "./deployments.ts";
import { type LoadPattern, PATTERNS } from "./patterns.ts";
import { runScenario, type ScenarioFigures } from "./scenario.ts";
import { VARIANTS } from "./variants.ts";

const SEEDS = [1];

const COLUMNS: readonly string[] = [
  "decisions",
  "goodput",
  "p50 ms",
  "p99 ms",
  "p99.9 ms",
  "bystanders p99 ms",
  "alone p99 ms",
  "refused",
  "of these early",
  "told p99 ms",
  "unanswered",
  "unknown",
  "sends/call",
  "worst account",
  "imbalance",
  "churn",
  "unserved s",
  "hot key ms",
  "hot keys",
];

export const LOAD_MEASUREMENT: Measurement = {
  name: "load",
  about: "what callers receive under load, with and without each decision",
  measure: () => Promise.resolve(measureLoad()),
};

function measureLoad(): MeasuredReport {
  const tables = DEPLOYMENTS.flatMap((deployment) =>
    PATTERNS.map((pattern) => measurePattern(deployment, pattern))
  );
  return { tables, figures: [] };
}

function measurePattern(
  deployment: Deployment,
  pattern: LoadPattern,
): MeasuredTable {
  const rows = VARIANTS.map((variant) => {
    const scenario = { deployment, pattern, variant, seeds: SEEDS };
    return formatRow(variant.name, runScenario(scenario));
  });
  return {
    title: `${deployment.name}: ${pattern.name}`,
    columns: COLUMNS,
    rows,
  };
}

function formatRow(name: string, figures: ScenarioFigures): readonly Cell[] {
  return [
    name,
    figures.goodput,
    figures.p50Ms,
    figures.p99Ms,
    figures.p999Ms,
    figures.bystanderP99Ms,
    figures.aloneP99Ms,
    figures.refusedShare,
    figures.refusedEarlyShare,
    figures.refusalP99Ms,
    figures.unansweredShare,
    figures.unknownShare,
    figures.sendsPerCall,
    figures.worstTreatment,
    figures.imbalance,
    figures.churn,
    figures.unservedS,
    figures.hotKeyPlacedMs,
    figures.hotKeyMoves,
  ];
}
