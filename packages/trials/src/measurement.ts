/**
 * What a measurement gives: tables of figures, and drawings of them. The
 * command prints tables for people or as JSON, and writes drawings to docs/.
 */

export type Cell = string | number | null;

export interface MeasuredTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly Cell[])[];
}

/** A drawing, to be written below docs/figures/. */
export interface MeasuredFigure {
  readonly fileName: string;
  readonly svg: string;
}

export interface MeasuredReport {
  readonly tables: readonly MeasuredTable[];
  readonly figures: readonly MeasuredFigure[];
}

export interface Measurement {
  /** What stands after `npm run measure --`. */
  readonly name: string;
  /** One sentence for `--help`. */
  readonly about: string;
  measure(): Promise<MeasuredReport>;
}
