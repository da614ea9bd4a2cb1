/** Writes the record of a case, line by line, with the time since its start. */
import { writeFileSync } from "node:fs";
import process from "node:process";

export class CaseRecord {
  #path;
  #lines = [];
  #startedAtMs = performance.now();

  constructor(path) {
    this.#path = path;
    const handle = (error) => this.end(2, `the case failed: ${error?.stack}`);
    process.on("uncaughtException", handle);
    process.on("unhandledRejection", handle);
  }

  readMs() {
    return performance.now() - this.#startedAtMs;
  }

  add(text) {
    this.#lines.push(`${(this.readMs() / 1_000).toFixed(3)} ${text}`);
  }

  /** Writes the record and ends this process: 0 held, 1 broken, 2 not run. */
  end(code, summary) {
    this.add(summary);
    writeFileSync(this.#path, `${this.#lines.join("\n")}\n`);
    console.log(summary);
    process.exit(code);
  }
}

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}
