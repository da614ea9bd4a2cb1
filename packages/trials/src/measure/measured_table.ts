/** Defines the table of a measurement, and formats it as text. */

export type Cell = string | number;

export interface MeasuredTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly Cell[])[];
}

/** Formats the title and one line per row, with aligned columns. */
export function formatTable(table: MeasuredTable): string {
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
    ).join("  ")
  );
  return [table.title, ...body].join("\n");
}

function formatCell(cell: Cell): string {
  return typeof cell === "string"
    ? cell
    : Number.isInteger(cell)
    ? String(cell)
    : cell.toPrecision(3);
}
