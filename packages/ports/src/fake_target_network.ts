/**
 * What lies between instances and targets, in memory. Each instance has a link
 * of its own, on which each target can be silent, hold bytes back, or lose
 * answers.
 */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import { waitForAbort } from "./abort.ts";
import type { Clock } from "./clock.ts";
import type { FakeTarget, TargetReply } from "./fake_target.ts";
import type {
  DispatchFailure,
  DispatchRequest,
  GrantReply,
  GrantRequest,
  TargetAddress,
  TargetAnswer,
  TargetFailure,
  TargetPort,
  TargetReport,
} from "./target.ts";

/** What one instance meets on its way to one target. */
export interface TargetFaults {
  /**
   * `silent`: what is written is lost and no answer comes. `held`: what is
   * written arrives when the fault ends, unless its sender gave it up before.
   * `unreachable`: no connection can be opened.
   */
  readonly way: "open" | "silent" | "held" | "unreachable";
  /** One way. */
  readonly latencyMs: number;
  /** The next requests arrive and run, and their answers are lost. */
  readonly lostAnswers: number;
}

const NO_FAULTS: TargetFaults = { way: "open", latencyMs: 1, lostAnswers: 0 };
/** How long grants and probes wait for an answer. */
const CONTROL_TIMEOUT_MS = 400;

export class FakeTargetNetwork {
  readonly #clock: Clock;
  readonly #targets = new Map<string, FakeTarget>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  add(target: FakeTarget): void {
    this.#targets.set(target.id, target);
  }

  get(id: string): FakeTarget | undefined {
    return this.#targets.get(id);
  }

  list(): readonly FakeTarget[] {
    return [...this.#targets.values()];
  }

  createLink(): FakeTargetLink {
    return new FakeTargetLink(this, this.#clock);
  }
}

export class FakeTargetLink implements TargetPort {
  readonly #network: FakeTargetNetwork;
  readonly #clock: Clock;
  readonly #faults = new Map<string, TargetFaults>();
  #releases = new AbortController();
  #isSenderLost = false;

  constructor(network: FakeTargetNetwork, clock: Clock) {
    this.#network = network;
    this.#clock = clock;
  }

  setFaults(target: string, faults: Partial<TargetFaults>): void {
    this.#faults.set(target, { ...this.#getFaults(target), ...faults });
    this.#releases.abort();
    this.#releases = new AbortController();
  }

  /**
   * The instance was killed. What its kernel holds back for a target still
   * arrives when that way opens, since nobody is left to give it up.
   */
  setSenderLost(): void {
    this.#isSenderLost = true;
  }

  async dispatch(
    address: TargetAddress,
    request: DispatchRequest,
    signal: AbortSignal,
  ): Promise<Result<TargetAnswer, DispatchFailure>> {
    const target = this.#network.get(address.id);
    const { way } = this.#getFaults(address.id);
    if (target?.isListening !== true || way === "unreachable") {
      return Err({
        kind: "not-run",
        cause: "unreachable",
        message: `No connection to target "${address.id}"`,
      });
    }
    if (this.#clock.readMs() > request.notAfterMs) {
      return Err({
        kind: "not-run",
        cause: "unreachable",
        message: "The sender was paused before it could write",
      });
    }
    const settled = new AbortController();
    const ended = AbortSignal.any([signal, settled.signal]);
    const arrived = this.#forward(target, request, ended);
    const timeout = this.#clock.sleep(request.remainingMs, ended);
    const reply = await Promise.race([arrived, timeout]);
    settled.abort();
    if (reply === undefined) {
      void this.cancel(address, request.requestId);
      const cause = signal.aborted ? "cancelled" : "silent";
      return Err({ kind: "unknown", cause, message: "No answer came" });
    }
    return describeReply(reply);
  }

  async grant(
    address: TargetAddress,
    request: GrantRequest,
  ): Promise<Result<GrantReply, TargetFailure>> {
    return await this.#sendControl(
      address,
      (target) => target.handleGrant(request),
    );
  }

  async probe(
    address: TargetAddress,
  ): Promise<Result<TargetReport, TargetFailure>> {
    return await this.#sendControl(
      address,
      async (target) => Ok(await target.getReport()),
    );
  }

  async cancel(address: TargetAddress, requestId: string): Promise<void> {
    await this.#sendControl(address, async (target) => {
      await target.cancel(requestId);
      return Ok(undefined);
    });
  }

  /** Never resolves where nothing comes back. */
  async #forward(
    target: FakeTarget,
    request: DispatchRequest,
    givenUp: AbortSignal,
  ): Promise<TargetReply> {
    await this.#clock.sleep(this.#getFaults(target.id).latencyMs);
    while (this.#getFaults(target.id).way === "held") {
      await waitForAbort(this.#releases.signal);
    }
    const isKept = !givenUp.aborted || this.#isSenderLost;
    if (this.#getFaults(target.id).way !== "open" || !isKept) {
      return await waitForEver();
    }
    if (!target.isListening) {
      return { kind: "lost" };
    }
    const reply = await target.handle({
      method: request.method,
      requestId: request.requestId,
      clientAccount: request.clientAccount,
      key: request.key,
      unit: request.unit,
      stewardToken: request.stewardToken,
      unitToken: request.unitToken,
      deadlineMs: request.remainingMs,
    });
    return await this.#answer(target.id, reply);
  }

  async #answer(target: string, reply: TargetReply): Promise<TargetReply> {
    const { lostAnswers, latencyMs } = this.#getFaults(target);
    await this.#clock.sleep(latencyMs);
    if (lostAnswers > 0) {
      this.setFaults(target, { lostAnswers: lostAnswers - 1 });
      return await waitForEver();
    }
    return this.#getFaults(target).way === "open" ? reply : await waitForEver();
  }

  async #sendControl<T>(
    address: TargetAddress,
    ask: (target: FakeTarget) => Promise<Result<T, TargetFailure>>,
  ): Promise<Result<T, TargetFailure>> {
    const target = this.#network.get(address.id);
    const { way, latencyMs } = this.#getFaults(address.id);
    if (way === "open" && target?.isListening !== true) {
      await this.#clock.sleep(latencyMs);
      const message = `Nothing listens for target "${address.id}"`;
      return Err({ kind: "refused", message });
    }
    const asked = way === "open" && target !== undefined
      ? this.#forwardControl(target, ask)
      : waitForEver<Result<T, TargetFailure>>();
    const settled = new AbortController();
    const timeout = this.#clock.sleep(CONTROL_TIMEOUT_MS, settled.signal);
    const reply = await Promise.race([asked, timeout]);
    settled.abort();
    return reply ?? Err({ kind: "silent", message: "No answer came" });
  }

  async #forwardControl<T>(
    target: FakeTarget,
    ask: (target: FakeTarget) => Promise<Result<T, TargetFailure>>,
  ): Promise<Result<T, TargetFailure>> {
    await this.#clock.sleep(this.#getFaults(target.id).latencyMs);
    const reply = await ask(target);
    await this.#clock.sleep(this.#getFaults(target.id).latencyMs);
    return this.#getFaults(target.id).way === "open"
      ? reply
      : await waitForEver();
  }

  #getFaults(target: string): TargetFaults {
    return this.#faults.get(target) ?? NO_FAULTS;
  }
}

function describeReply(
  reply: TargetReply,
): Result<TargetAnswer, DispatchFailure> {
  switch (reply.kind) {
    case "ran":
      return Ok({ status: 200, headers: [], body: reply.body });
    case "not-run":
      return Err(reply);
    case "lost":
      return Err({
        kind: "unknown",
        cause: "reset",
        message: "The target's process ended",
      });
  }
}

function waitForEver<T>(): Promise<T> {
  return new Promise(() => undefined);
}
