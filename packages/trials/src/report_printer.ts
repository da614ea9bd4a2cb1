/** Prints a measured report for people, or the same as JSON for machines. */
import type { Cell, MeasuredReport, MeasuredTable } from "./measurement.ts";

/** One row a line, columns aligned. */
export function formatReport(report: MeasuredReport): string {
  return report.tables.map(formatTable).join("\n\n");
}

/** An object for each table; a row is an object by column. */
export function formatReportAsJson(report: MeasuredReport): string {
  const tables = report.tables.map(({ title, columns, rows }) => ({
    title,
    rows: rows.map((row) =>
      Object.fromEntries(
        columns.map((column, index) => [column, row[index] ?? null]),
      )
    ),
  }));
  return JSON.stringify({ tables }, null, 2);
}

function formatTable(table: MeasuredTable): string {
  const lines = [
    table.columns,
    ...table.rows.map((row) => row.map(formatCell)),
  ];
  const widths = table.columns.map((_, index) =>
    Math.max(...lines.map((line) => line[index]?.length ?? 0))
  );
  const body = lines.map((line) =>
    line.map((cell, index) =>
      index === 0 ? cell.padEnd(widths[index]!) : cell.padStart(widths[index]!)
    ).join("  ").trimEnd()
  );
  return [table.title, ...body].join("\n");
}

function formatCell(cell: Cell): string {
  if (cell === null) {
    return "-";
  }
  if (typeof cell === "string" || Number.isInteger(cell)) {
    return String(cell);
  }
  return Math.abs(cell) >= 100 ? cell.toFixed(0) : cell.toPrecision(3);
}
