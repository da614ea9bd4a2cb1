import assert from "node:assert/strict";
import { test } from "node:test";
import type { FinalResponse } from "../entry/caller_request.ts";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import type { SendOutcome } from "@lentilspur/ports/request_sender";
import type { TargetIncarnation } from "@lentilspur/routing/target_incarnation";
import { Duties } from "../members/duties.ts";
import { createMember } from "../members/member_fixtures.ts";
import { Members } from "../members/members.ts";
import type { RequestContext } from "./request_context.ts";
import {
  type QuarantineEvent,
  RequestQuarantine,
} from "./request_quarantine.ts";
import {
  RequestSimulation,
  type RequestSimulationOptions,
} from "./request_simulation.ts";

const INSTANCES = ["bole-1", "bole-2", "kirkos-1", "kirkos-2", "yeka-1"];
const FATAL = "/files/fatal";
/** Longest time until every instance knows of a crash. */
const PROPAGATION_MS = 3_000;
const ALLOWED_SENDS = 3;
/** After this an instance knows that it cannot connect to a target. */
const CONNECT_TIMEOUT_MS = 250;

const HARMLESS = "/files/innocent";
/** Length of the first quarantine, counted from the third crash. */
const QUARANTINE_MS = 30_000;

function createSimulation(
  keyed: boolean,
  options: Partial<RequestSimulationOptions> = {},
): RequestSimulation {
  return new RequestSimulation({
    instances: INSTANCES,
    targets: 12,
    keyed,
    target: { isFatal: ({ path }) => path === FATAL },
    ...options,
  });
}

function getFailure(response: FinalResponse | undefined): string | undefined {
  return response?.kind === "failed" ? response.failure : response?.kind;
}

/** Sends one request and waits for its response. */
async function sendOnce(
  simulation: RequestSimulation,
  instance: string,
  path: string,
): Promise<FinalResponse | undefined> {
  let response: FinalResponse | undefined;
  void simulation.send(instance, { path }).then((given) => response = given);
  await simulation.clock.advance(2_000);
  return response;
}

/** Sends a harmless request through all instances in turn. */
async function sendHarmless(
  simulation: RequestSimulation,
  { everyMs, forMs }: { readonly everyMs: number; readonly forMs: number },
): Promise<readonly (string | undefined)[]> {
  const responses: (string | undefined)[] = [];
  for (let index = 0; index * everyMs < forMs; index++) {
    const instance = INSTANCES[index % INSTANCES.length]!;
    void simulation.send(instance, { path: HARMLESS })
      .then((response) => responses.push(getFailure(response)));
    await simulation.clock.advance(everyMs);
  }
  return responses;
}

/** Sends the fatal request repeatedly, each time through another instance. */
async function sendRepeatedly(
  simulation: RequestSimulation,
  { everyMs, count }: { readonly everyMs: number; readonly count: number },
): Promise<void> {
  for (let index = 0; index < count; index++) {
    void simulation.send(INSTANCES[(2 * index) % INSTANCES.length]!, {
      path: FATAL,
    });
    await simulation.clock.advance(everyMs);
  }
}

/** Lists all events but the sends that do not count as crashes. */
function listSuspicions(
  { events }: RequestSimulation,
): readonly QuarantineEvent[] {
  return events.filter(({ kind }) => kind !== "crash-dismissed");
}

function countLateSends(simulation: RequestSimulation): number {
  const third = simulation.crashes[2];
  assert.ok(third !== undefined, "fewer than three targets crashed");
  return simulation.countArrivals(FATAL, third.atMs + PROPAGATION_MS);
}

for (const keyed of [true, false]) {
  const kind = keyed ? "the owner of its key" : "any target";
  test(`a request that crashes ${kind} is quarantined`, async () => {
    const simulation = createSimulation(keyed);
    await sendRepeatedly(simulation, { everyMs: 3_300, count: 30 });
    const late = countLateSends(simulation);
    assert.ok(late <= ALLOWED_SENDS, `${late} sends after the third crash`);
  });
}

test("copies of a fatal request that are sent at once are quarantined", async () => {
  const simulation = createSimulation(false);
  for (let round = 0; round < 8; round++) {
    for (const instance of INSTANCES.slice(0, 3)) {
      void simulation.send(instance, { path: FATAL });
    }
    await simulation.clock.advance(1_700);
  }
  assert.ok(countLateSends(simulation) <= ALLOWED_SENDS);
});

test("an instance that lost datagrams or has just started learns of a quarantine", async () => {
  const simulation = createSimulation(true, { lostDatagrams: 0.4 });
  await sendRepeatedly(simulation, { everyMs: 3_300, count: 4 });
  for (const instance of INSTANCES) {
    simulation.restartInstance(instance);
    await simulation.clock.advance(PROPAGATION_MS);
    void simulation.send(instance, { path: FATAL });
  }
  assert.ok(countLateSends(simulation) <= ALLOWED_SENDS);
});

test("a quarantined request is refused with a retry delay that lasts until its trial", async () => {
  const simulation = createSimulation(true);
  await sendRepeatedly(simulation, { everyMs: 3_300, count: 4 });
  const response = await sendOnce(simulation, "yeka-1", FATAL);
  assert.ok(response?.kind === "failed" && response.failure === "quarantined");
  const leftMs = simulation.crashes[2]!.atMs + QUARANTINE_MS -
    simulation.clock.readMs();
  assert.ok(response.retryAfterMs! >= leftMs, `${response.retryAfterMs} ms`);
});

test("a request whose cause is fixed is served by all instances after its trial", async () => {
  let isFixed = false;
  const simulation = createSimulation(true, {
    target: { isFatal: ({ path }) => path === FATAL && !isFixed },
  });
  await sendRepeatedly(simulation, { everyMs: 3_300, count: 4 });
  isFixed = true;
  assert.equal(
    getFailure(await sendOnce(simulation, "bole-1", FATAL)),
    "quarantined",
  );
  await simulation.clock.advance(QUARANTINE_MS);
  for (const instance of INSTANCES) {
    const response = await sendOnce(simulation, instance, FATAL);
    assert.equal(getFailure(response), "answered");
  }
  const trials = simulation.events.filter(({ kind }) => kind === "trial");
  assert.equal(trials.length, 1);
});

test("a harmless request that runs during most crashes is not quarantined", async () => {
  const simulation = createSimulation(false);
  const fatal = sendRepeatedly(simulation, { everyMs: 1_100, count: 8 });
  const responses = await sendHarmless(simulation, {
    everyMs: 15,
    forMs: 12_000,
  });
  await fatal;
  assert.ok(simulation.crashes.length >= 3);
  assert.ok(!responses.includes("quarantined"));
});

test("a target that leaves while it runs a request does not count as a crash", async () => {
  const simulation = createSimulation(false);
  for (let count = 0; count < 4; count++) {
    const sent = sendOnce(simulation, "bole-1", HARMLESS);
    await simulation.clock.advance(20);
    simulation.stopTarget(simulation.arrivals.at(-1)!.targetId);
    await sent;
  }
  assert.deepEqual(listSuspicions(simulation), []);
});

test("a target that one instance does not reach is not reported to have crashed", async () => {
  const simulation = createSimulation(false, { idleTimeoutMs: 200 });
  const sending = sendHarmless(simulation, { everyMs: 4, forMs: 5_000 });
  const lost = simulation.listTargets().slice(0, 8);
  void simulation.clock.sleep(1_000).then(() =>
    simulation.setPaths("bole-1", "resetting", lost)
  );
  await sending;
  assert.deepEqual(listSuspicions(simulation), []);
});

test("a crash is reported as soon as no other instance reaches the target", async () => {
  const simulation = createSimulation(false);
  void simulation.send("bole-1", { path: FATAL });
  while (simulation.crashes.length === 0) {
    await simulation.clock.advance(10);
  }
  await simulation.clock.advance(CONNECT_TIMEOUT_MS);
  const [first] = simulation.crashes;
  assert.ok(
    simulation.events.some((event) =>
      event.kind === "crash" && event.targetId === first!.targetId
    ),
  );
});

test(
  "a response that is lost before a crash does not hide the crash",
  {},
  async () => {
    const simulation = createSimulation(true);
    simulation.isResponseLost = ({ path }) => path === HARMLESS;
    for (let round = 0; round < 12; round++) {
      void simulation.send("kirkos-1", { path: HARMLESS });
      await simulation.clock.advance(400);
      await sendRepeatedly(simulation, { everyMs: 3_300, count: 1 });
    }
    const late = countLateSends(simulation);
    assert.ok(late <= ALLOWED_SENDS, `${late} sends after the third crash`);
  },
);

test("a fatal request counts as the same whether it is forwarded or not", async () => {
  const simulation = createSimulation(false);
  simulation.setPaths("bole-1", "resetting");
  for (let round = 0; round < 4; round++) {
    for (const instance of ["bole-1", "yeka-1"]) {
      void simulation.send(instance, { path: FATAL, credential: "caller" });
      await simulation.clock.advance(1_700);
    }
  }
  const fingerprints = simulation.events.flatMap((event) =>
    event.kind === "crash" ? [event.fingerprint] : []
  );
  assert.ok(fingerprints.length >= ALLOWED_SENDS);
  assert.equal(new Set(fingerprints).size, 1);
});

test("a fatal request is quarantined though its callers leave before the crash", async () => {
  const simulation = createSimulation(true);
  for (let round = 0; round < 12; round++) {
    const leaving = new AbortController();
    void simulation.send(INSTANCES[round % INSTANCES.length]!, {
      path: FATAL,
      signal: leaving.signal,
    });
    await simulation.clock.advance(15);
    leaving.abort();
    await simulation.clock.advance(3_300);
  }
  assert.ok(countLateSends(simulation) <= ALLOWED_SENDS);
});

const TARGET: TargetIncarnation = { id: "t1", bornMs: 5 };

/** A quarantine of one instance, which knows of its targets by `known`. */
class QuarantineFixture {
  readonly clock = new VirtualClock();
  readonly events: QuarantineEvent[] = [];
  known: (TargetIncarnation & { readonly leaving: boolean }) | undefined = {
    ...TARGET,
    leaving: false,
  };
  readonly quarantine: RequestQuarantine;

  constructor() {
    const { clock } = this;
    const self = createMember("bole-1");
    const members = new Members(self);
    this.quarantine = new RequestQuarantine({
      clock,
      instance: self.instance,
      dataCentre: self.dataCentre,
      duties: new Duties({
        clock,
        self,
        members,
        hasLostStore: () => false,
        countLostPaths: () => 0,
      }),
      send: () => undefined,
      findTarget: () => this.known,
      observe: (event) => this.events.push(event),
    });
  }

  /** Records how a send of a request to the target has ended. */
  record(requestId: string, outcome: SendOutcome, sentAtMs: number): void {
    const context = { request: { requestId }, fingerprint: requestId };
    this.quarantine.recordOutcome(context as RequestContext, {
      target: TARGET,
      outcome,
      sentAtMs,
      hasResponded: false,
    });
  }

  listCrashed(): readonly string[] {
    return this.events.flatMap((event) =>
      event.kind === "crash" ? [event.requestId] : []
    );
  }
}

const RESET: SendOutcome = { kind: "unknown", cause: "reset", message: "" };

test("a send that fails after its target's end is known counts as a crash", () => {
  const fixture = new QuarantineFixture();
  fixture.known = undefined;
  fixture.record("late", RESET, 0);
  assert.deepEqual(fixture.listCrashed(), ["late"]);
});

test("a removed entry that may come back proves no end", () => {
  const fixture = new QuarantineFixture();
  const event = { kind: "target", targetId: "t1", service: "files" } as const;
  fixture.record("lost", RESET, 0);
  fixture.quarantine.handleCatalogueEvent({ ...event, state: "missing" });
  assert.deepEqual(fixture.listCrashed(), []);
  fixture.quarantine.handleCatalogueEvent({ ...event, state: "gone" });
  assert.deepEqual(fixture.listCrashed(), ["lost"]);
});

test("another target at its address proves that a target has ended", () => {
  const fixture = new QuarantineFixture();
  fixture.record("fatal", RESET, 0);
  fixture.record("other", {
    kind: "not-run",
    cause: "replaced",
    proof: "refusal-with-id",
    message: "",
  }, 10);
  assert.deepEqual(fixture.listCrashed(), ["fatal"]);
});

test("a new incarnation that leaves at once proves the end of the previous one", () => {
  const fixture = new QuarantineFixture();
  fixture.record("fatal", RESET, 0);
  fixture.known = { ...TARGET, bornMs: 6, leaving: true };
  fixture.quarantine.handleCatalogueEvent({
    kind: "target",
    targetId: "t1",
    service: "files",
    state: "leaving",
  });
  assert.deepEqual(fixture.listCrashed(), ["fatal"]);
});
