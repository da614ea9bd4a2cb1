/**
 * Starts the child processes of a trial, and ends each by its own process id.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import process from "node:process";

export interface ChildOptions {
  readonly name: string;
  /** A JavaScript file and its arguments. */
  readonly args: readonly string[];
  /** File that standard output and standard error are appended to. */
  readonly logFile: string;
}

/** Running child processes, which are killed when this process exits. */
const runningProcesses = new Set<ChildProcess>();

process.on("exit", () => {
  for (const child of runningProcesses) {
    child.kill("SIGKILL");
  }
});

export class Child {
  readonly name: string;
  readonly logFile: string;
  /**
   * Resolves with the exit code, or with null if a signal ended the process.
   */
  readonly ended: Promise<number | null>;
  readonly #process: ChildProcess;
  readonly #output: string[] = [];
  readonly #waiters = new Set<() => void>();

  constructor(options: ChildOptions) {
    this.name = options.name;
    this.logFile = options.logFile;
    const child = spawn(process.execPath, [...options.args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#process = child;
    runningProcesses.add(child);
    const log = createWriteStream(options.logFile, { flags: "a" });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.stdout.on("data", (bytes) => this.#addText(bytes));
    child.stderr.on("data", (bytes) => this.#addText(bytes));
    this.ended = new Promise((resolve) => {
      child.on("exit", (code) => {
        runningProcesses.delete(child);
        this.#resumeWaiters();
        resolve(code);
      });
    });
  }

  get processId(): number | undefined {
    return this.#process.pid;
  }

  /** Null while the process runs, and if a signal ended it. */
  get exitCode(): number | null {
    return this.#process.exitCode;
  }

  get hasEnded(): boolean {
    return this.#process.exitCode !== null || this.#process.signalCode !== null;
  }

  /**
   * Waits until the output matches `pattern`; returns the first captured group.
   */
  async waitForOutput(pattern: RegExp, timeoutMs: number): Promise<string> {
    const deadlineMs = Date.now() + timeoutMs;
    for (;;) {
      const match = pattern.exec(this.#output.join(""));
      if (match !== null) {
        return match[1] ?? "";
      }
      const remainingMs = deadlineMs - Date.now();
      if (this.hasEnded || remainingMs <= 0) {
        const output = this.#output.join("").slice(-500);
        throw new Error(
          `"${this.name}" ended or timed out before it printed ${pattern}: ${output}`,
        );
      }
      await this.#waitForChange(remainingMs);
    }
  }

  send(signal: NodeJS.Signals): void {
    this.#process.kill(signal);
  }

  /**
   * Sends SIGTERM, then SIGKILL if the process still runs after `timeoutMs`.
   */
  async stop(timeoutMs: number): Promise<number | null> {
    this.send("SIGTERM");
    const timer = setTimeout(() => this.send("SIGKILL"), timeoutMs);
    const code = await this.ended;
    clearTimeout(timer);
    return code;
  }

  /**
   * Keeps only the start of the output in memory; the log file has all of it.
   */
  #addText(bytes: Uint8Array): void {
    if (this.#output.length < MAX_OUTPUT_CHUNKS) {
      this.#output.push(bytes.toString());
      this.#resumeWaiters();
    }
  }

  #resumeWaiters(): void {
    this.#waiters.forEach((wake) => wake());
    this.#waiters.clear();
  }

  #waitForChange(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(wake, timeoutMs);
      this.#waiters.add(wake);
    });
  }
}

const MAX_OUTPUT_CHUNKS = 50;
