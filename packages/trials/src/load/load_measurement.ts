/** `npm run measure -- load`: what each decision does for callers. */
import type {
  Cell,
  MeasuredReport,
  MeasuredTable,
  Measurement,
} from "../measurement.ts";
import { measureDecisionCost } from "./decision_cost.ts";
import { DEPLOYMENTS } from "./deployments.ts";
import { drawLoadFigures } from "./load_figures.ts";
import { runAllTasks } from "./load_runs.ts";
import type { LoadTaskResult } from "./load_worker.ts";
import { PATTERNS } from "./patterns.ts";
import type { ScenarioFigures } from "./scenario.ts";
import { VARIANTS } from "./variants.ts";

const SEEDS = [1];

interface Column {
  readonly title: string;
  readonly read: (figures: ScenarioFigures) => Cell;
}

const COLUMNS: readonly Column[] = [
  { title: "goodput", read: ({ goodput }) => goodput },
  { title: "p50 ms", read: ({ p50Ms }) => p50Ms },
  { title: "p99 ms", read: ({ p99Ms }) => p99Ms },
  { title: "p99.9 ms", read: ({ p999Ms }) => p999Ms },
  { title: "bystanders p99", read: ({ bystanderP99Ms }) => bystanderP99Ms },
  { title: "alone p99", read: ({ aloneP99Ms }) => aloneP99Ms },
  { title: "refused", read: ({ refusedShare }) => refusedShare },
  {
    title: "of these early",
    read: ({ refusedEarlyShare }) => refusedEarlyShare,
  },
  { title: "told p99 ms", read: ({ refusalP99Ms }) => refusalP99Ms },
  { title: "unanswered", read: ({ unansweredShare }) => unansweredShare },
  { title: "unknown", read: ({ unknownShare }) => unknownShare },
  { title: "sends", read: ({ sendsPerCall }) => sendsPerCall },
  { title: "offers", read: ({ offersPerCall }) => offersPerCall },
  { title: "worst account", read: ({ worstTreatment }) => worstTreatment },
  { title: "imbalance", read: ({ imbalance }) => imbalance },
  { title: "churn", read: ({ churn }) => churn },
  { title: "unserved s", read: ({ unservedS }) => unservedS },
  { title: "hot key ms", read: ({ hotKeyPlacedMs }) => hotKeyPlacedMs },
  { title: "hot keys", read: ({ hotKeyMoves }) => hotKeyMoves },
];

export const LOAD_MEASUREMENT: Measurement = {
  name: "load",
  about: "what callers receive under load, with and without each decision",
  measure: measureLoad,
};

async function measureLoad(): Promise<MeasuredReport> {
  const cost = measureDecisionCost();
  const results = await runAllTasks(SEEDS);
  const tables = DEPLOYMENTS.flatMap((_, deployment) =>
    PATTERNS.map((_, pattern) => buildTable(results, { deployment, pattern }))
  );
  return {
    tables: [...tables, cost],
    figures: drawLoadFigures(results),
  };
}

function buildTable(
  results: readonly LoadTaskResult[],
  index: { readonly deployment: number; readonly pattern: number },
): MeasuredTable {
  const rows = results
    .filter(({ task }) => task.deployment === index.deployment)
    .map(({ task, figures }) => [
      VARIANTS[task.variant]!.name,
      ...COLUMNS.map(({ read }) => read(figures[index.pattern]!)),
    ]);
  const deployment = DEPLOYMENTS[index.deployment]!.name;
  return {
    title: `${deployment}: ${PATTERNS[index.pattern]!.name}`,
    columns: ["decisions", ...COLUMNS.map(({ title }) => title)],
    rows,
  };
}
