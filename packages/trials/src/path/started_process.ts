/** Starts and stops the processes of a measurement, by their own ids. */
import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { createInterface } from "node:readline";

/** A process that says where it listens takes well under a second. */
const START_TIMEOUT_MS = 20_000;
/** A graceful stop waits for the balancer first. */
const STOP_TIMEOUT_MS = 20_000;

export interface ProcessOptions {
  /** The built module, relative to the repository's root. */
  readonly module: string;
  readonly args: readonly string[];
  /** Gives the address in a line of either output, if it holds one. */
  readonly findAddress: (line: string) => string | undefined;
  /** Called with each line of standard output. */
  readonly observe?: (line: string) => void;
}

export class StartedProcess {
  readonly address: string;
  readonly #child: ChildProcess;

  constructor(child: ChildProcess, address: string) {
    this.#child = child;
    this.address = address;
  }

  /** Resolves once the process has said where it listens. */
  static start(options: ProcessOptions): Promise<StartedProcess> {
    const child = spawn(process.execPath, [options.module, ...options.args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    watchChild(child);
    return new Promise((resolve, reject) => {
      const errors: string[] = [];
      const timer = setTimeout(() => {
        child.kill("SIGKILL");
        reject(new Error(`"${options.module}" did not start: ${errors}`));
      }, START_TIMEOUT_MS);
      const read = (line: string): void => {
        const address = options.findAddress(line);
        if (address !== undefined) {
          clearTimeout(timer);
          resolve(new StartedProcess(child, address));
        }
      };
      createInterface({ input: child.stdout! }).on("line", (line) => {
        read(line);
        options.observe?.(line);
      });
      createInterface({ input: child.stderr! }).on("line", (line) => {
        errors.push(line);
        read(line);
      });
      child.once("exit", (code) => {
        clearTimeout(timer);
        reject(new Error(`"${options.module}" ended with ${code}: ${errors}`));
      });
    });
  }

  /** Asks it to stop; ends it after a while. */
  async stop(): Promise<void> {
    if (this.#child.exitCode !== null) {
      return;
    }
    const ended = new Promise((resolve) => this.#child.once("exit", resolve));
    this.#child.kill("SIGTERM");
    const timer = setTimeout(
      () => this.#child.kill("SIGKILL"),
      STOP_TIMEOUT_MS,
    );
    await ended;
    clearTimeout(timer);
  }
}

const running = new Set<ChildProcess>();

/** A measurement that is cut off leaves no process behind. */
function watchChild(child: ChildProcess): void {
  if (running.size === 0) {
    process.once("exit", stopRunning);
    process.once("SIGTERM", () => process.exit(1));
    process.once("SIGINT", () => process.exit(1));
  }
  running.add(child);
  child.once("exit", () => running.delete(child));
}

function stopRunning(): void {
  running.forEach((child) => child.kill("SIGKILL"));
}
