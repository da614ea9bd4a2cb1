/** Child processes of a trial, each ended by its own id. */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import process from "node:process";

export interface ChildOptions {
  readonly name: string;
  /** A JavaScript file and its arguments. */
  readonly args: readonly string[];
  /** Its output is kept here. */
  readonly logFile: string;
}

/** Children that have not ended, to be ended with this process. */
const living = new Set<ChildProcess>();

process.on("exit", () => {
  for (const child of living) {
    child.kill("SIGKILL");
  }
});

export class Child {
  readonly name: string;
  readonly logFile: string;
  /** Resolves with the exit code, or null after a signal. */
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
    living.add(child);
    const log = createWriteStream(options.logFile, { flags: "a" });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.stdout.on("data", (bytes) => this.#addText(bytes));
    child.stderr.on("data", (bytes) => this.#addText(bytes));
    this.ended = new Promise((resolve) => {
      child.on("exit", (code) => {
        living.delete(child);
        this.#resumeWaiters();
        resolve(code);
      });
    });
  }

  get processId(): number | undefined {
    return this.#process.pid;
  }

  /** Null while it runs, and after a signal. */
  get exitCode(): number | null {
    return this.#process.exitCode;
  }

  get hasEnded(): boolean {
    return this.#process.exitCode !== null || this.#process.signalCode !== null;
  }

  /** Waits until its output matches; gives the first captured part. */
  async waitForOutput(pattern: RegExp, timeoutMs: number): Promise<string> {
    const endsAt = Date.now() + timeoutMs;
    for (;;) {
      const match = pattern.exec(this.#output.join(""));
      if (match !== null) {
        return match[1] ?? "";
      }
      const leftMs = endsAt - Date.now();
      if (this.hasEnded || leftMs <= 0) {
        const seen = this.#output.join("").slice(-500);
        throw new Error(`"${this.name}" did not start: ${seen}`);
      }
      await this.#waitForChange(leftMs);
    }
  }

  send(signal: NodeJS.Signals): void {
    this.#process.kill(signal);
  }

  /** Asks it to stop, and ends it if it has not within `patienceMs`. */
  async stop(patienceMs: number): Promise<number | null> {
    this.send("SIGTERM");
    const timer = setTimeout(() => this.send("SIGKILL"), patienceMs);
    const code = await this.ended;
    clearTimeout(timer);
    return code;
  }

  /** Only the head of the output is kept; the file has all of it. */
  #addText(bytes: Uint8Array): void {
    if (this.#output.length < MAX_SEEN_CHUNKS) {
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

const MAX_SEEN_CHUNKS = 50;
