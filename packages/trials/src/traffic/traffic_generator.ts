/**
 * Runs the callers of all client accounts, which send until they are stopped.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "@lentilspur/ports/clock";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { Caller, type LogicalRequest } from "./caller.ts";
import type { CallerRecord } from "./caller_record.ts";
import type { CallerAccount, Deployment, RequestKind } from "./deployment.ts";
import { markFatal } from "./fatal_request.ts";
import { markSlow } from "./slow_request.ts";

const KEY_COUNT = 24;
const HOT_KEY_FRACTION = 0.25;
/** Mean pause of a caller between two requests, in milliseconds. */
const MEAN_PAUSE_MS = 30;
const STEADY_INTERVAL_MS = 20;

export interface TrafficGeneratorOptions {
  readonly deployment: Deployment;
  readonly random: Random;
  readonly listReadyAddresses: () => readonly string[];
  /** Addresses of the instances whose process has not ended. */
  readonly listRunningAddresses: () => readonly string[];
  /** Addresses of the instances that stop as planned. */
  readonly listStoppingAddresses: () => readonly string[];
  /**
   * Requests per second of callers who wait for no response and keep to their
   * instances until the process is gone.
   */
  readonly steadyPerSecond: number;
}

export class TrafficGenerator {
  readonly records: CallerRecord[] = [];
  readonly #options: TrafficGeneratorOptions;
  readonly #stopController = new AbortController();
  readonly #callers: readonly Caller[];
  /** One for each client account. */
  readonly #steadyCallers: readonly Caller[];
  /** Sends to instances that stop as long as there are any. */
  readonly #slowCaller: Caller;
  #running: readonly Promise<void>[] = [];

  constructor(options: TrafficGeneratorOptions) {
    this.#options = options;
    const { deployment, listReadyAddresses, listRunningAddresses } = options;
    this.#callers = deployment.accounts.flatMap((account) =>
      Array.from(
        { length: account.callers },
        () => this.#createCaller(account, listReadyAddresses),
      )
    );
    this.#steadyCallers = deployment.accounts.map((account) =>
      this.#createCaller(account, listRunningAddresses)
    );
    this.#slowCaller = this.#createCaller(deployment.accounts[0]!, () => {
      const stopping = options.listStoppingAddresses();
      return stopping.length > 0 ? stopping : listRunningAddresses();
    });
  }

  #createCaller(
    { name, credential }: CallerAccount,
    listReadyAddresses: () => readonly string[],
  ): Caller {
    return new Caller({
      clientAccount: name,
      credential,
      clock: new SystemClock(),
      random: this.#options.random,
      listReadyAddresses,
      record: (record) => this.records.push(record),
    });
  }

  start(): void {
    this.#running = [
      ...this.#callers.map((caller) => this.#runCaller(caller)),
      this.#runSteadyRequests(),
    ];
  }

  /** Stops the callers; resolves once every attempt in flight is recorded. */
  async stop(): Promise<void> {
    this.#stopController.abort();
    await Promise.all(this.#running);
    await Promise.all(
      [...this.#callers, ...this.#steadyCallers, this.#slowCaller]
        .map((caller) => caller.close()),
    );
  }

  /** Sends one request of a kind in addition to the callers' own requests. */
  async sendExtraRequest(template: string): Promise<void> {
    const { deployment, random } = this.#options;
    const kind = deployment.requests
      .find((one) => one.template === template)!;
    const key = this.#makeKey(Math.floor(random.draw() * KEY_COUNT));
    const caller = this
      .#callers[Math.floor(random.draw() * this.#callers.length)]!;
    this.records.push(await caller.sendOnce(makeRequest(kind, key)));
  }

  /**
   * Sends a fatal request as one of the callers; `name` distinguishes it from
   * others.
   */
  async sendFatalRequest(name: string): Promise<void> {
    const kind = this.#options.deployment.requests[0]!;
    const logicalRequest = makeRequest(kind, this.#makeKey(0));
    this.records
      .push(await this.#callers[0]!.sendOnce(markFatal(logicalRequest, name)));
  }

  /** Sends a request whose work takes a share of its timeout. */
  async sendSlowRequest(
    { share, deadlineMs }: {
      readonly share: number;
      readonly deadlineMs: number | undefined;
    },
  ): Promise<void> {
    const { random } = this.#options;
    const kind = this.#drawKind();
    const key = this.#makeKey(Math.floor(random.draw() * KEY_COUNT));
    const workMs = share * (deadlineMs ?? kind.timeoutMs);
    this.records.push(
      await this.#slowCaller.sendOnce({
        ...markSlow(makeRequest(kind, key), workMs),
        ...(deadlineMs === undefined ? {} : { deadlineMs }),
      }),
    );
  }

  /**
   * Sends one request of each kind for each key except the hot key; returns
   * whether all of them ran.
   */
  async checkAllKeysServed(): Promise<boolean> {
    const [caller] = this.#callers;
    const records = await Promise.all(
      this.#options.deployment.requests.flatMap((kind) =>
        Array.from(
          { length: KEY_COUNT },
          (_, index) => caller!.send(makeRequest(kind, this.#makeKey(index))),
        )
      ),
    );
    return records.every((record) => record.outcome === "ran");
  }

  async #runCaller(caller: Caller): Promise<void> {
    const { random } = this.#options;
    while (!this.#stopController.signal.aborted) {
      await caller.send(this.#drawRequest());
      await sleep(MEAN_PAUSE_MS * 2 * random.draw());
    }
  }

  /** Sends at a fixed rate, also while responses are missing. */
  async #runSteadyRequests(): Promise<void> {
    const { steadyPerSecond } = this.#options;
    const sent: Promise<void>[] = [];
    let dueRequests = 0;
    while (!this.#stopController.signal.aborted) {
      dueRequests += steadyPerSecond * STEADY_INTERVAL_MS / 1_000;
      for (; dueRequests >= 1; dueRequests--) {
        sent.push(this.#sendSteadyRequest(sent.length));
      }
      await sleep(STEADY_INTERVAL_MS);
    }
    await Promise.all(sent);
  }

  async #sendSteadyRequest(index: number): Promise<void> {
    const callers = this.#steadyCallers;
    const caller = callers[index % callers.length]!;
    this.records.push(await caller.sendOnce(this.#drawRequest()));
  }

  #drawKind(): RequestKind {
    const { deployment, random } = this.#options;
    let remaining = random.draw();
    return deployment.requests.find((each) => {
      remaining -= each.fraction;
      return remaining < 0;
    }) ?? deployment.requests[0]!;
  }

  #drawRequest(): LogicalRequest {
    const { deployment, random } = this.#options;
    const kind = this.#drawKind();
    const key = random.draw() < HOT_KEY_FRACTION
      ? deployment.hotKey
      : this.#makeKey(Math.floor(random.draw() * KEY_COUNT));
    return makeRequest(kind, key);
  }

  #makeKey(index: number): string {
    return `${this.#options.deployment.keyPrefix}-${index}`;
  }
}

function makeRequest(
  kind: RequestKind,
  key: string,
): LogicalRequest {
  return {
    template: kind.template,
    key,
    method: kind.method,
    path: kind.path.replace("{key}", key),
    idempotent: kind.method === "GET",
  };
}
