/**
 * Pauses one process in memory: while it is paused none of its code goes on.
 * Its sleepers do not wake, answers on their way to it wait, and calls to it
 * wait as well; its clock goes on, as a monotonic clock does.
 */
import type { Clock } from "@lentilspur/ports/clock";

export class ProcessGate {
  #resumed: Promise<void> | undefined;
  #resume: (() => void) | undefined;
  #isEnded = false;
  #stopsAtCall = false;

  get isPaused(): boolean {
    return this.#resumed !== undefined;
  }

  get isEnded(): boolean {
    return this.#isEnded;
  }

  stop(): void {
    this.#resumed ??= new Promise((resolve) => this.#resume = resolve);
  }

  /**
   * Pauses right before the next call of a port leaves: between a check and
   * the act that it allowed, where a real process may be paused as well.
   */
  setStopAtNextCall(): void {
    this.#stopsAtCall = true;
  }

  /** Waits before a call of a port leaves the process. */
  async waitBeforeCall(): Promise<void> {
    if (this.#stopsAtCall) {
      this.#stopsAtCall = false;
      this.stop();
    }
    await this.wait();
  }

  start(): void {
    this.#stopsAtCall = false;
    this.#resume?.();
    this.#resumed = undefined;
    this.#resume = undefined;
  }

  /** For good: nothing of this process ever goes on. */
  close(): void {
    this.#isEnded = true;
    this.#resumed = new Promise(() => {});
  }

  /** Resolves once the process runs. */
  async wait(): Promise<void> {
    while (this.#resumed !== undefined) {
      await this.#resumed;
    }
  }
}

/** The clock as a pausable process sees it. */
export class GatedClock implements Clock {
  readonly #clock: Clock;
  readonly #gate: ProcessGate;

  constructor(clock: Clock, gate: ProcessGate) {
    this.#clock = clock;
    this.#gate = gate;
  }

  readMs(): number {
    return this.#clock.readMs();
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.#clock.sleep(ms, signal);
    await this.#gate.wait();
  }
}

/**
 * The same port for a pausable process: calls leave it and answers reach it
 * only while it runs.
 */
export function createGatedPort<T extends object>(
  port: T,
  gate: ProcessGate,
): T {
  return new Proxy(port, {
    get(target, name) {
      const member: unknown = Reflect.get(target, name);
      if (typeof member !== "function") {
        return member;
      }
      return async (...args: unknown[]): Promise<unknown> => {
        await gate.waitBeforeCall();
        const result: unknown = await Reflect.apply(member, target, args);
        await gate.wait();
        return result;
      };
    },
  });
}
