import assert from "node:assert/strict";
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import type { ProcessOrder, ProcessReport, ReadMode } from "./entry_process.ts";

const PROGRAM = fileURLToPath(new URL("./entry_process.js", import.meta.url));
const HEAD = "HTTP/1.1 200 OK\r\n";
const HEAD_WITHOUT_LENGTH = `${HEAD}\r\n`;
const PART = Buffer.alloc(200_000, "x");
/** More than the buffers of both sockets on loopback hold. */
const LARGE = Buffer.alloc(14_000_000, "x");
const CHUNK = Buffer.concat([
  Buffer.from(`${PART.length.toString(16)}\r\n`),
  PART,
  Buffer.from("\r\n"),
]);

const READ_MODES: readonly ReadMode[] = ["ahead", "in-parts", "whole"];

/** Ways to end the process while it passes on a response. */
const ENDS: readonly (readonly [string, (child: ChildProcess) => void])[] = [
  ["is killed", (child) => void child.kill("SIGKILL")],
  [
    "stops at the end of the grace period",
    (child) => void child.send("stop" satisfies ProcessOrder),
  ],
];

/** A caller, an entry server in a process of its own, and a target. */
class ProcessTrial {
  readonly #target = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => this.#answer(socket));
  });
  readonly #answer: (socket: Socket) => void;
  #child: ChildProcess | undefined;
  #caller: Socket | undefined;
  #receivedBytes = 0;
  #isIdle = false;
  #hasEnded = false;
  #closed: Promise<unknown> = Promise.resolve();
  #resolveAnswered: () => void = () => undefined;
  /** Resolves when the target's part has reached the kernel. */
  readonly answered = new Promise<void>((resolve) =>
    this.#resolveAnswered = resolve
  );

  constructor(answer: (target: Socket) => void) {
    this.#answer = answer;
  }

  get child(): ChildProcess {
    assert.ok(this.#child !== undefined);
    return this.#child;
  }

  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  get isIdle(): boolean {
    return this.#isIdle;
  }

  /** Starts the process and sends it a request; reads nothing yet. */
  async open(options: {
    readonly version?: string;
    readonly mode?: ReadMode;
  }): Promise<void> {
    const { version = "1.1", mode = "ahead" } = options;
    this.#target.listen(0, "127.0.0.1");
    await once(this.#target, "listening");
    const { port } = this.#target.address() as AddressInfo;
    this.#child = fork(PROGRAM, [String(port), mode], { execArgv: [] });
    const [report] = await once(this.#child, "message");
    const { port: entryPort } = report as ProcessReport & { port: number };
    this.#child.on("message", ({ kind }: ProcessReport) => {
      this.#isIdle ||= kind === "idle";
    });
    const caller = connect({
      host: "127.0.0.1",
      port: entryPort,
      allowHalfOpen: true,
    });
    this.#caller = caller;
    caller.on("error", () => undefined);
    // Node.js reports a reset behind unread bytes as an end; a write tells.
    caller.on("end", () =>
      caller.write("x", (error) => {
        this.#hasEnded = error === undefined || error === null;
        caller.destroy();
      }));
    this.#closed = new Promise((resolve) => caller.on("close", resolve));
    await once(this.#caller, "connect");
    this.#caller.pause();
    this.#caller.write(`GET / HTTP/${version}\r\nHost: a\r\n\r\n`);
  }

  recordAnswer(): void {
    this.#resolveAnswered();
  }

  startReading(): void {
    this.#caller?.on("data", (data) => this.#receivedBytes += data.byteLength);
    this.#caller?.resume();
  }

  /** Resolves with whether the caller's connection ended in order. */
  async waitForEnd(): Promise<boolean> {
    await this.#closed;
    return this.#hasEnded;
  }

  close(): void {
    this.#caller?.destroy();
    this.#child?.kill("SIGKILL");
    this.#target.close();
  }
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

for (const [name, end] of ENDS) {
  test(`a response without a length never looks complete if the process ${name}`, async () => {
    const trial = new ProcessTrial((target) => {
      target.write(HEAD_WITHOUT_LENGTH);
      target.write(PART);
    });
    await trial.open({ mode: "in-parts" });
    trial.startReading();
    await waitUntil(() => trial.receivedBytes > 0);
    end(trial.child);
    assert.equal(await trial.waitForEnd(), false);
    trial.close();
  });

  test(`a response without a length is not begun before it is whole if the process ${name}`, async () => {
    const trial = new ProcessTrial((target) => {
      target.write(HEAD_WITHOUT_LENGTH);
      target.write(PART, () => trial.recordAnswer());
    });
    await trial.open({});
    trial.startReading();
    await trial.answered;
    end(trial.child);
    await trial.waitForEnd();
    assert.equal(trial.receivedBytes, 0);
    trial.close();
  });

  test(`chunks passed on to an HTTP/1.0 caller never look complete if the process ${name}`, async () => {
    const trial = new ProcessTrial((target) => {
      target.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`);
      target.write(CHUNK);
    });
    await trial.open({ version: "1.0", mode: "in-parts" });
    trial.startReading();
    await waitUntil(() => trial.receivedBytes > 0);
    end(trial.child);
    assert.equal(await trial.waitForEnd(), false);
    trial.close();
  });

  for (const mode of READ_MODES) {
    test(`a response without a length to a slow caller, read ${mode}, never looks complete if the process ${name}`, async () => {
      const trial = new ProcessTrial((target) => {
        target.write(HEAD_WITHOUT_LENGTH);
        target.end(LARGE);
      });
      await trial.open({ mode });
      trial.startReading();
      await waitUntil(() => trial.receivedBytes > 0);
      end(trial.child);
      const hasEnded = await trial.waitForEnd();
      assert.ok(
        !hasEnded || trial.receivedBytes > LARGE.length,
        `${trial.receivedBytes} bytes and an end in order`,
      );
      trial.close();
    });
  }
}

test("a response without a length that was written whole survives the end of the process", async () => {
  const trial = new ProcessTrial((target) => {
    target.write(HEAD_WITHOUT_LENGTH);
    target.end(PART);
  });
  await trial.open({});
  await waitUntil(() => trial.isIdle);
  trial.child.kill("SIGKILL");
  await once(trial.child, "exit");
  trial.startReading();
  assert.equal(await trial.waitForEnd(), true);
  assert.ok(trial.receivedBytes > PART.length);
  trial.close();
});
