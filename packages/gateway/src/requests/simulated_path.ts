/**
 * Simulates the network path between one instance and one target, with the
 * connections over it, in virtual time. For tests.
 */
import type { Clock } from "@lentilspur/ports/clock";

export type PathMode =
  | "working"
  /** Nothing passes, on open connections and new ones alike. */
  | "silent"
  /** All connections are reset, and new ones are refused. */
  | "resetting"
  /** Open connections work, new ones are refused. */
  | "refusing-new"
  /** Open connections work, new ones get no answer. */
  | "ignoring-new";

export type Transfer = "passed" | "reset" | "aborted";

export interface SimulatedPathOptions {
  readonly clock: Clock;
  readonly delayMs: number;
  readonly connectTimeoutMs: number;
  /** Targets close a connection that has been idle for this long. */
  readonly idleTimeoutMs: number;
}

export class SimulatedPath {
  readonly #options: SimulatedPathOptions;
  #mode: PathMode = "working";
  /** Since when each idle connection has been idle. */
  #idleSinceMs: number[] = [];
  /** Aborted when the mode changes. */
  #modeChange = new AbortController();

  constructor(options: SimulatedPathOptions) {
    this.#options = options;
  }

  setMode(mode: PathMode): void {
    this.#mode = mode;
    if (mode === "resetting") {
      this.#idleSinceMs = [];
    }
    this.#modeChange.abort();
    this.#modeChange = new AbortController();
  }

  get hasIdleConnection(): boolean {
    const { clock, idleTimeoutMs } = this.#options;
    return this.#idleSinceMs
      .some((sinceMs) => clock.readMs() - sinceMs < idleTimeoutMs);
  }

  /** Takes an idle connection or opens one; returns whether there is one. */
  async open(): Promise<boolean> {
    const { clock, idleTimeoutMs } = this.#options;
    const idleSinceMs = this.#idleSinceMs.pop();
    return idleSinceMs !== undefined &&
        clock.readMs() - idleSinceMs < idleTimeoutMs
      ? true
      : await this.openNew();
  }

  /** Opens a new connection; returns whether it opens. */
  async openNew(): Promise<boolean> {
    const { clock, delayMs, connectTimeoutMs } = this.#options;
    switch (this.#mode) {
      case "working":
        return true;
      case "resetting":
      case "refusing-new":
        await clock.sleep(delayMs);
        return false;
      case "silent":
      case "ignoring-new":
        await clock.sleep(connectTimeoutMs);
        return false;
    }
  }

  /** Keeps a connection for the next request. */
  close({ isKept }: { readonly isKept: boolean }): void {
    if (isKept && this.#mode !== "resetting") {
      this.#idleSinceMs.push(this.#options.clock.readMs());
    }
  }

  /** Passes bytes in one direction on an open connection. */
  async transfer(signal: AbortSignal): Promise<Transfer> {
    const { clock, delayMs } = this.#options;
    while (!signal.aborted) {
      switch (this.#mode) {
        case "resetting":
          return "reset";
        case "silent":
          await waitForAbort([this.#modeChange.signal, signal]);
          break;
        case "working":
        case "refusing-new":
        case "ignoring-new":
          await clock.sleep(delayMs, signal);
          return signal.aborted ? "aborted" : "passed";
      }
    }
    return "aborted";
  }

  /** Resolves when the path begins to reset its connections. */
  async waitForReset(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.#mode !== "resetting") {
      await waitForAbort([this.#modeChange.signal, signal]);
    }
  }
}

function waitForAbort(signals: readonly AbortSignal[]): Promise<void> {
  return new Promise((resolve) => {
    const settle = () => {
      signals.forEach((signal) => signal.removeEventListener("abort", settle));
      resolve();
    };
    signals.forEach((signal) => signal.addEventListener("abort", settle));
  });
}
