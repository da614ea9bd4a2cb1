/** Callers of all client accounts, sending until they are stopped. */
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "@lentilspur/ports/clock";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { Caller, type LogicalRequest } from "./caller.ts";
import type { CallerRecord } from "./caller_record.ts";
import type { Deployment } from "./deployment.ts";
import { markFatal } from "./fatal_request.ts";

const KEYS = 24;
const HOT_SHARE = 0.25;
/** Mean pause of a caller between two requests. */
const PAUSE_MS = 30;

export interface TrafficGeneratorOptions {
  readonly deployment: Deployment;
  readonly random: Random;
  readonly listReadyAddresses: () => readonly string[];
}

export class TrafficGenerator {
  readonly records: CallerRecord[] = [];
  readonly #options: TrafficGeneratorOptions;
  readonly #stop = new AbortController();
  readonly #callers: readonly Caller[];
  #running: readonly Promise<void>[] = [];

  constructor(options: TrafficGeneratorOptions) {
    this.#options = options;
    const { deployment, random, listReadyAddresses: listEntries } = options;
    this.#callers = deployment.accounts.flatMap((account) =>
      Array.from({ length: account.callers }, () =>
        new Caller({
          clientAccount: account.name,
          credential: account.credential,
          clock: new SystemClock(),
          random,
          listReadyAddresses: listEntries,
          record: (record) => this.records.push(record),
        }))
    );
  }

  start(): void {
    this.#running = this.#callers.map((caller) => this.#runCaller(caller));
  }

  /** Resolves once every send has its fate. */
  async stop(): Promise<void> {
    this.#stop.abort();
    await Promise.all(this.#running);
    await Promise.all(this.#callers.map((caller) => caller.close()));
  }

  /** Sends one request of a kind, beside what the callers send. */
  async sendExtraRequest(template: string): Promise<void> {
    const { deployment, random } = this.#options;
    const shape = deployment.requests
      .find((one) => one.template === template)!;
    const key = this.#makeKey(Math.floor(random.draw() * KEYS));
    const caller = this
      .#callers[Math.floor(random.draw() * this.#callers.length)]!;
    this.records.push(await caller.sendOnce(makeRequest(shape, key)));
  }

  /** Sends a fatal request as one of the callers; `name` tells it from others. */
  async sendFatalRequest(name: string): Promise<void> {
    const shape = this.#options.deployment.requests[0]!;
    const wanted = makeRequest(shape, this.#makeKey(0));
    this.records
      .push(await this.#callers[0]!.sendOnce(markFatal(wanted, name)));
  }

  /** Sends one request of each kind; true if all were answered. */
  async checkAllKeysServed(): Promise<boolean> {
    const [caller] = this.#callers;
    const records = await Promise.all(
      this.#options.deployment.requests.flatMap((shape) =>
        Array.from(
          { length: KEYS },
          (_, index) => caller!.send(makeRequest(shape, this.#makeKey(index))),
        )
      ),
    );
    return records.every((record) => record.outcome === "ran");
  }

  async #runCaller(caller: Caller): Promise<void> {
    const { random } = this.#options;
    while (!this.#stop.signal.aborted) {
      await caller.send(this.#drawRequest());
      await sleep(PAUSE_MS * 2 * random.draw());
    }
  }

  #drawRequest(): LogicalRequest {
    const { deployment, random } = this.#options;
    let left = random.draw();
    const shape = deployment.requests.find((each) => {
      left -= each.share;
      return left < 0;
    }) ?? deployment.requests[0]!;
    const key = random.draw() < HOT_SHARE
      ? deployment.hotKey
      : this.#makeKey(Math.floor(random.draw() * KEYS));
    return makeRequest(shape, key);
  }

  #makeKey(index: number): string {
    return `${this.#options.deployment.keyPrefix}-${index}`;
  }
}

function makeRequest(
  shape: Deployment["requests"][number],
  key: string,
): LogicalRequest {
  return {
    template: shape.template,
    key,
    method: shape.method,
    path: shape.path.replace("{key}", key),
    idempotent: shape.method === "GET",
  };
}
