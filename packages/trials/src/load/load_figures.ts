/** Draws the load measurement: one bar chart a figure, all patterns below. */
import type { MeasuredFigure } from "../measurement.ts";
import { DEPLOYMENTS } from "./deployments.ts";
import type { LoadTaskResult } from "./load_worker.ts";
import { PATTERNS } from "./patterns.ts";
import type { ScenarioFigures } from "./scenario.ts";
import { VARIANTS } from "./variants.ts";

/** What is compared; a row has one bar for each. */
const SHOWN: readonly { readonly variant: string; readonly colour: string }[] =
  [
    { variant: "all decisions", colour: "#2b6cb0" },
    { variant: "first come first served", colour: "#b7791f" },
    { variant: "no limits", colour: "#9b2c2c" },
  ];

interface Chart {
  readonly fileName: string;
  readonly title: string;
  readonly max: number;
  readonly read: (figures: ScenarioFigures) => number;
}

const CHARTS: readonly Chart[] = [
  {
    fileName: "load_goodput.svg",
    title: "Answered work, share of what was asked or of capacity",
    max: 1,
    read: ({ goodput }) => goodput,
  },
  {
    fileName: "load_bystanders.svg",
    title: "Bystanders' p99 in milliseconds",
    max: 2_000,
    read: ({ bystanderP99Ms }) => bystanderP99Ms ?? 2_000,
  },
];

const ROW_HEIGHT = 48;
const BAR_HEIGHT = 12;
const LABEL_WIDTH = 150;
const BAR_WIDTH = 420;
const TOP = 60;

export function drawLoadFigures(
  results: readonly LoadTaskResult[],
): readonly MeasuredFigure[] {
  return DEPLOYMENTS.flatMap((deployment, index) =>
    CHARTS.map((chart) => ({
      fileName: `${deployment.name}_${chart.fileName}`,
      svg: drawChart(
        { ...chart, title: `${deployment.name}: ${chart.title}` },
        results.filter(({ task }) => task.deployment === index),
      ),
    }))
  );
}

function drawChart(chart: Chart, results: readonly LoadTaskResult[]): string {
  const height = TOP + PATTERNS.length * ROW_HEIGHT;
  const width = LABEL_WIDTH + BAR_WIDTH + 80;
  const rows = PATTERNS.map((pattern, index) =>
    drawRow(chart, results, { name: pattern.name, index })
  );
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="11">`,
    `<rect width="100%" height="100%" fill="white"/>`,
    `<text x="10" y="20" font-size="14">${chart.title}</text>`,
    ...SHOWN.map(({ variant, colour }, index) =>
      `<text x="${10 + index * 170}" y="42" fill="${colour}">${variant}</text>`
    ),
    ...rows,
    "</svg>",
    "",
  ].join("\n");
}

function drawRow(
  chart: Chart,
  results: readonly LoadTaskResult[],
  row: { readonly name: string; readonly index: number },
): string {
  const top = TOP + row.index * ROW_HEIGHT;
  const bars = SHOWN.map(({ variant, colour }, index) => {
    const result = results.find(({ task }) =>
      VARIANTS[task.variant]!.name === variant
    )!;
    const value = chart.read(result.figures[row.index]!);
    const width = BAR_WIDTH * Math.min(1, value / chart.max);
    const y = top + index * BAR_HEIGHT;
    return `<rect x="${LABEL_WIDTH}" y="${y}" width="${width.toFixed(1)}" ` +
      `height="${BAR_HEIGHT - 2}" fill="${colour}"/>` +
      `<text x="${(LABEL_WIDTH + width + 4).toFixed(1)}" y="${y + 9}">` +
      `${chart.max > 1 ? value.toFixed(0) : value.toFixed(2)}</text>`;
  });
  return [`<text x="10" y="${top + 20}">${row.name}</text>`, ...bars].join(
    "\n",
  );
}
