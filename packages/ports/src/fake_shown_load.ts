/** The load that a target reports, which lags behind what it runs. */

export class FakeShownLoad {
  readonly #lagMs: number;
  readonly #changes: { readonly atMs: number; readonly running: number }[] = [];

  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  record(running: number, atMs: number): void {
    const shown = this.#findShown(atMs);
    this.#changes.splice(0, Math.max(0, shown));
    this.#changes.push({ atMs, running });
  }

  compute(atMs: number): number {
    return this.#changes[this.#findShown(atMs)]?.running ?? 0;
  }

  #findShown(atMs: number): number {
    const shownAt = atMs - this.#lagMs;
    return this.#changes.findLastIndex((change) => change.atMs <= shownAt);
  }
}
