/** Fakes at the data path's interfaces, for tests that need no network. */
import type {
  ClientAccount,
  Template,
} from "@lentilspur/declarations/template";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import type { ForwardRequest } from "@lentilspur/ports/peer";
import type {
  DispatchFailure,
  DispatchRequest,
  TargetAddress,
  TargetAnswer,
  TargetPort,
} from "@lentilspur/ports/target";
import type { Decision, DecisionSink } from "@lentilspur/proof/decision_line";
import type { Entry } from "@lentilspur/state/entries";
import { serializeEnvelope } from "@lentilspur/state/entry_schema";
import { Fold } from "@lentilspur/state/fold";
import type { StateView } from "@lentilspur/state/view";
import type { Authority, Permission } from "../authority.ts";
import { hashCredential } from "../entry/credential_index.ts";
import type { StateSource } from "../state_source.ts";

export const CREDENTIAL = "producer-secret";

export const TEMPLATE: Template = {
  name: "reservations",
  routes: [
    { method: "GET", path: "/reservations/{key}", idempotent: true },
    { method: "POST", path: "/reservations/{key}/holds", idempotent: false },
  ],
  shardCount: 1,
  placesPerTarget: 2,
  deadlines: { defaultMs: 1_000, maxMs: 60_000 },
  limits: {
    maxBodyBytes: 1_024,
    maxAnswerBytes: 1_024,
    maxQueuedPerTarget: 10,
    maxQueueMs: 500,
  },
  placement: { imbalance: 1, churn: 1, unservedTime: 1 },
  retry: { budgetRatio: 0.1, maxAttempts: 2 },
  maxHotKeys: 1,
  drainPriority: 0,
};

export const ACCOUNT: ClientAccount = {
  name: "sautiba-producers",
  credentialDigests: [hashCredential(CREDENTIAL)],
  templates: [{
    template: TEMPLATE.name,
    weight: 1,
    requestsPerSecond: 1_000,
    burst: 100,
    maxConcurrent: 100,
  }],
};

/** A folded log with instances a and b, and target t1 that b stewards. */
export class FoldedState implements StateSource {
  readonly #fold = new Fold();
  readonly #clock: Clock;
  #wakers: (() => void)[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
    this.apply("operator:neema", {
      kind: "configuration-published",
      expectedVersion: 0,
      changes: [
        { kind: "template", name: TEMPLATE.name, content: TEMPLATE },
        { kind: "clientAccount", name: ACCOUNT.name, content: ACCOUNT },
      ],
      operator: "neema",
    });
    this.#addInstance("a", []);
    this.#addInstance("b", ["a"]);
    this.apply("b", {
      kind: "target-joined",
      target: {
        id: "t1",
        address: "127.0.0.1:9",
        dataCentre: "Upanga",
        template: TEMPLATE.name,
        checksGrants: true,
      },
      steward: "b",
    });
    this.apply("b", {
      kind: "units-assigned",
      template: TEMPLATE.name,
      units: [{ unit: "s:0", to: "t1" }],
    });
  }

  getView(): StateView {
    return this.#fold;
  }

  async waitForFold(maxMs: number, signal?: AbortSignal): Promise<void> {
    const folded = new Promise<void>((resolve) => this.#wakers.push(resolve));
    await Promise.race([folded, this.#clock.sleep(maxMs, signal)]);
  }

  /** Folds one more record; throws if the fold rejects it. */
  apply(author: string, entry: Entry): void {
    const offset = this.#fold.nextOffset;
    const payload = serializeEnvelope({
      id: `${author}#${offset}`,
      author,
      entries: [entry],
    });
    const verdict = this.#fold.apply(offset, payload)[0];
    if (verdict?.kind !== "accepted") {
      throw new Error(`The fold rejected ${JSON.stringify(entry)}`);
    }
    this.#wakers.splice(0).forEach((wake) => wake());
  }

  #addInstance(id: string, guardians: readonly string[]): void {
    this.apply(id, {
      kind: "instance-joined",
      instance: {
        id,
        peerAddress: `127.0.0.1:1${id.charCodeAt(0)}`,
        httpAddress: `127.0.0.1:2${id.charCodeAt(0)}`,
        dataCentre: "Upanga",
      },
      guardians,
    });
  }
}

export const PERMITTED: Extract<Permission, { kind: "permitted" }> = {
  kind: "permitted",
  unit: "s:0",
  target: { id: "t1", address: "127.0.0.1:9" },
  stewardToken: 3 * 4096,
  unitToken: 4 * 4096,
  maxRunMs: 60_000,
  untilMs: Infinity,
};

/** Answers what the test last set. */
export class FakeAuthority implements Authority {
  readonly #clock: Clock;
  #permission: Permission = PERMITTED;
  #wakers: (() => void)[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  set(permission: Permission): void {
    this.#permission = permission;
    this.#wakers.splice(0).forEach((wake) => wake());
  }

  check(): Permission {
    return this.#permission;
  }

  async waitForChange(maxMs: number, signal?: AbortSignal): Promise<void> {
    const changed = new Promise<void>((resolve) => this.#wakers.push(resolve));
    await Promise.race([changed, this.#clock.sleep(maxMs, signal)]);
  }
}

export type TargetResult = Result<TargetAnswer, DispatchFailure>;

/** Keeps every dispatch open until the test answers it. */
export class FakeTargets implements TargetPort {
  readonly dispatched: DispatchRequest[] = [];
  readonly #open: ((result: TargetResult) => void)[] = [];

  dispatch(
    _target: TargetAddress,
    request: DispatchRequest,
    signal: AbortSignal,
  ): Promise<TargetResult> {
    this.dispatched.push(request);
    return new Promise((resolve) => {
      this.#open.push(resolve);
      signal.addEventListener("abort", () => resolve(CANCELLED));
    });
  }

  /** Answers the oldest dispatch that is still open. */
  answer(result: TargetResult = makeAnswer("done")): void {
    this.#open.shift()!(result);
  }

  grant(): never {
    throw new Error("The data path sends no grants");
  }

  probe(): never {
    throw new Error("The data path sends no probes");
  }

  cancel(): Promise<void> {
    return Promise.resolve();
  }
}

const CANCELLED: TargetResult = makeFailure({
  kind: "unknown",
  cause: "cancelled",
  message: "cancelled",
});

export function makeAnswer(text: string): TargetResult {
  return Ok({ status: 200, headers: [], body: Buffer.from(text) });
}

export function makeFailure(failure: DispatchFailure): TargetResult {
  return Err(failure);
}

export class RecordedDecisions implements DecisionSink {
  readonly all: Decision[] = [];

  log(decision: Decision): void {
    this.all.push(decision);
  }

  list(): readonly string[] {
    return this.all.map((each) => each.decision);
  }
}

/** A hold on a studio; the id was minted after t1 got its units. */
export const HOLD: ForwardRequest = {
  requestId: "0-fo0-a.1",
  firstSend: false,
  clientAccount: ACCOUNT.name,
  template: TEMPLATE.name,
  key: "studio-3",
  idempotent: false,
  method: "POST",
  path: "/reservations/studio-3/holds",
  headers: [],
  body: Buffer.from("hold"),
  remainingMs: 1_000,
  foldedOffset: 5,
};

export const LOOKUP: ForwardRequest = {
  ...HOLD,
  requestId: "0-fo0-a.2",
  idempotent: true,
  method: "GET",
  path: "/reservations/studio-3",
  body: Buffer.alloc(0),
};
