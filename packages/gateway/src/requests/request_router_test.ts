import assert from "node:assert/strict";
import { test } from "node:test";
import { Ok } from "@lentilspur/outcomes/result";
import type {
  OutgoingRequest,
  SendOutcome,
} from "@lentilspur/ports/request_sender";
import type { Route, RoutingTable } from "@lentilspur/ports/routing_table";
import { SeededRandom } from "@lentilspur/ports/seeded_random";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { LAST_KEY } from "@lentilspur/ports/key_orders";
import {
  applyReassignments,
  createTable,
  serializeTable,
} from "@lentilspur/ownership/key_table";
import { AccountAdmission } from "../entry/account_admission.ts";
import type { CallerRequest, FinalResponse } from "../entry/caller_request.ts";
import { Catalogue } from "../views/catalogue.ts";
import { Duties } from "../members/duties.ts";
import { KeyDirectory } from "../views/key_directory.ts";
import { createMember, createMembers } from "../members/member_fixtures.ts";
import { TargetLimits } from "./target_limits.ts";
import { TargetRateLimiter } from "./target_rate_limiter.ts";
import { computeFingerprint } from "./request_fingerprint.ts";
import { RequestQuarantine } from "./request_quarantine.ts";
import { RequestRouter } from "./request_router.ts";
import { ServiceRegistry } from "./service_registry.ts";

const ANSWER: SendOutcome = {
  kind: "answered",
  status: 200,
  headers: [],
  body: new Uint8Array(0),
  isSelfDelimited: true,
};
const RESET: SendOutcome = {
  kind: "unknown",
  cause: "reset",
  message: "reset",
};
/** No answer ever comes; it ends when it is given up. */
const SILENT: SendOutcome = {
  kind: "unknown",
  cause: "cancelled",
  message: "silent",
};
const FULL: SendOutcome = { kind: "not-run", cause: "full", message: "full" };
const NO_CONNECTION: SendOutcome = {
  kind: "not-run",
  cause: "unreachable",
  message: "refused",
};

/** One instance's path of a request, with targets that a test plays. */
class Path {
  readonly clock = new VirtualClock();
  readonly sent: OutgoingRequest[] = [];
  readonly directory = new KeyDirectory();
  readonly catalogue: Catalogue;
  readonly accounts = new AccountAdmission(this.clock);
  readonly #router: RequestRouter;
  readonly quarantine: RequestQuarantine;
  isStopping = false;
  #version = 0;

  constructor(play: (request: OutgoingRequest, nth: number) => SendOutcome) {
    this.catalogue = new Catalogue({
      decodeConfiguration: (text) => Ok(this.#decode(text)),
      decodeTarget: (id, text) => Ok({ id, ...JSON.parse(text) }),
      observe: () => undefined,
    });
    const services = new ServiceRegistry({
      clock: this.clock,
      catalogue: this.catalogue,
      dataCentre: "bole",
      retryLimits: { ratio: 0.2, reserve: 64, windowMs: 10_000 },
      random: new SeededRandom(1),
      countInstances: () => 1,
      estimatePermitWaitMs: () => 0,
    });
    const self = createMember("bole-1");
    const members = createMembers(self, [], 0);
    const shared = {
      clock: this.clock,
      instance: self.instance,
      dataCentre: self.dataCentre,
      duties: new Duties({
        clock: this.clock,
        self,
        members,
        hasLostStore: () => false,
      }),
      send: () => undefined,
      observe: () => undefined,
    };
    this.quarantine = new RequestQuarantine({
      ...shared,
      findTarget: (id) => this.catalogue.getTarget(id),
    });
    const findMember = (name: string) => members.get(name);
    const limits = new TargetLimits({ ...shared, findMember });
    const turns = new TargetRateLimiter({
      ...shared,
      limits,
      findMember,
      getColdPerSecond: () => undefined,
    });
    this.#router = new RequestRouter({
      clock: this.clock,
      catalogue: this.catalogue,
      directory: this.directory,
      services,
      accounts: this.accounts,
      quarantine: this.quarantine,
      limits,
      rateLimiter: turns,
      observeKey: () => undefined,
      refreshOwners: () => undefined,
      sender: {
        send: async (request) => {
          this.sent.push(request);
          const outcome = play(request, this.sent.length);
          await this.clock
            .sleep(outcome === SILENT ? 4_000 : 20, request.signal);
          return outcome;
        },
      },
      getWithdrawalGraceMs: () => 1_000,
      isStopping: () => this.isStopping,
      observe: () => undefined,
    });
    for (const id of ["a", "b"]) {
      this.setTarget(id);
    }
    void services.run(new AbortController().signal);
  }

  setTarget(id: string, leaving = false): void {
    const target = {
      service: "files",
      address: `${id}:80`,
      dataCentre: "bole",
      places: 2,
      leaving,
      coldMs: 0,
    };
    this.catalogue.applyTarget(id, JSON.stringify(target), {
      nowMs: this.clock.readMs(),
      graceMs: 0,
    });
  }

  setRoute(changes: Partial<Route>, keyed = false): void {
    this.#version++;
    this.catalogue.applyConfiguration(
      JSON.stringify({ changes, keyed, version: this.#version }),
    );
  }

  /** The answer, once there is one within `advanceMs`. */
  async send(
    changes: Partial<CallerRequest> = {},
    advanceMs = 2_000,
  ): Promise<FinalResponse | undefined> {
    let answer: FinalResponse | undefined;
    void this.#router.handle({ ...this.#createRequest(), ...changes })
      .then((given) => answer = given);
    await this.clock.advance(advanceMs);
    return answer;
  }

  /** Three targets have crashed under the request a minute ago. */
  recordCrashes(): void {
    const request = this.#createRequest();
    const { route } = this.catalogue.match(request)!;
    const lives = ["x", "y", "z"];
    this.quarantine.apply({
      kind: "suspects",
      from: "bole-2",
      dataCentre: "bole",
      reports: [{
        fingerprint: computeFingerprint(request, route),
        crashes: lives.map((life) => [life, 60_000, 60_030] as const),
        clearedAgeMs: null,
        trialAgeMs: null,
      }],
    });
  }

  #createRequest(): CallerRequest {
    return {
      requestId: "r1",
      deadlineMs: 1_000,
      key: undefined,
      credential: undefined,
      method: "POST",
      host: "files.example",
      path: "/files/1",
      headers: [],
      body: new Uint8Array(0),
      arrivedAtMs: this.clock.readMs(),
      signal: new AbortController().signal,
    };
  }

  #decode(text: string): RoutingTable {
    const { changes, keyed, version } = JSON.parse(text);
    return {
      version,
      routes: [{
        name: "r",
        match: {
          kind: "prefix",
          host: "files.example",
          pathPrefix: "/files/",
        },
        idempotent: false,
        timeoutMs: 800,
        goalMs: 300,
        maxAttempts: 2,
        priority: 0,
        parts: [{ service: "files", weight: 1 }],
        ...changes,
      }],
      services: new Map([["files", {
        name: "files",
        keyed,
        maxConnections: 10,
      }]]),
      limits: { maxBodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 },
      access: { kind: "open" },
    };
  }
}

function getFailure(answer: FinalResponse | undefined): string {
  return answer?.kind === "failed" ? answer.failure : String(answer?.kind);
}

test("a deposit is not sent again when its connection breaks", async () => {
  // A target takes a deposit and dies before it answers. Sent to another
  // target, it would be charged twice; the caller is told that nobody knows.
  const path = new Path(() => RESET);
  path.setRoute({ idempotent: false });
  const answer = await path.send();
  assert.equal(path.sent.length, 1);
  assert.equal(getFailure(answer), "answer-lost");
});

test("a lookup is sent to another target when its connection breaks", async () => {
  const path = new Path((_request, nth) => nth === 1 ? RESET : ANSWER);
  path.setRoute({ idempotent: true });
  assert.equal((await path.send())?.kind, "answered");
  assert.notEqual(path.sent[0]!.targetId, path.sent[1]!.targetId);
});

test("what a target refused unrun goes to another, as often as is allowed", async () => {
  const path = new Path(() => FULL);
  path.setRoute({ idempotent: false, maxAttempts: 2 });
  const answer = await path.send();
  assert.equal(path.sent.length, 2);
  assert.equal(getFailure(answer), "target-refused");
});

test("a refusal after a lost answer does not say not run", async () => {
  // A lookup's first answer is lost, and no other target takes it. A 503 would
  // promise that it has not run.
  const path = new Path((_request, nth) => nth === 1 ? RESET : FULL);
  path.setRoute({ idempotent: true });
  assert.equal(getFailure(await path.send()), "answer-late");
});

test("a target that nobody can connect to does not use up the attempts", async () => {
  const path = new Path((request) =>
    request.targetId === "a" ? NO_CONNECTION : ANSWER
  );
  path.setRoute({ idempotent: false, maxAttempts: 1 });
  assert.equal((await path.send())?.kind, "answered");
});

test("a lookup whose answer is overdue is sent once more, but not in a stop", async () => {
  // Targets lose a part of their answers, and a caller would wait until its
  // deadline. But an instance that stops must not break off what a target is
  // working on: it may have no time left for a second try.
  const path = new Path((_request, nth) => nth === 1 ? SILENT : ANSWER);
  path.setRoute({ idempotent: true, timeoutMs: 5_000 });
  assert.equal((await path.send({ deadlineMs: 5_000 }))?.kind, "answered");
  assert.equal(path.sent.length, 2);
  path.isStopping = true;
  path.sent.length = 0;
  await path.send({ deadlineMs: 5_000 });
  assert.equal(path.sent.length, 1);
});

test("targets are told the least of deadline and route's time", async () => {
  const path = new Path(() => ANSWER);
  path.setRoute({ timeoutMs: 400 });
  await path.send({ deadlineMs: 900 });
  await path.send({ deadlineMs: 300 });
  assert.equal(path.sent[0]!.remainingMs, 400);
  assert.ok(path.sent[1]!.remainingMs < 300);
});

test("a key without an owner is waited for, but not until the deadline", async () => {
  // A key's target was lost; its hold runs for seconds. Callers that wait in
  // vain until their deadlines could have come back in time.
  const path = new Path(() => ANSWER);
  path.setRoute({ idempotent: true }, true);
  const answer = await path.send({ key: 5 }, 350);
  assert.equal(getFailure(answer), "owner-changing");
  assert.equal(path.sent.length, 0);
});

test("a key whose move takes long is refused at once", async () => {
  // A third of the targets are lost at one moment. Their keys have no owner
  // until the holds have run out, for seconds; every caller would wait 0.3 s in
  // vain although that is known.
  const path = new Path(() => ANSWER);
  path.setRoute({ idempotent: true }, true);
  const [from, to] = ["a", "b"].map((id) => ({ id, address: `${id}:80` }));
  const moving = applyReassignments(
    createTable([from!], 1),
    [{ from: 0, to: LAST_KEY, owner: to! }],
    2,
  );
  path.directory.applyTable("files", serializeTable(moving), {
    offset: 2,
    nowMs: path.clock.readMs(),
  });
  assert.equal(getFailure(await path.send({ key: 5 }, 250)), "undefined");
  await path.clock.advance(500);
  assert.equal(getFailure(await path.send({ key: 5 }, 5)), "owner-changing");
});

test("a key is sent to its owner, and to the new one after it has moved", async () => {
  const path = new Path(() => ANSWER);
  path.setRoute({ idempotent: true }, true);
  const owners = ["a", "b"].map((id) => ({ id, address: `${id}:80` }));
  path.directory.applyTable(
    "files",
    serializeTable(createTable([owners[0]!], 1)),
    { offset: 1, nowMs: 0 },
  );
  await path.send({ key: 5 });
  path.directory.applyTable(
    "files",
    serializeTable(createTable([owners[1]!], 2)),
    { offset: 2, nowMs: 0 },
  );
  await path.send({ key: 5 });
  assert.deepEqual(path.sent.map(({ targetId }) => targetId), ["a", "b"]);
});

test("a leaving owner gets nothing when its time is nearly over", async () => {
  // The keeper is lost just when a target leaves, and its keys do not move.
  const path = new Path(() => ANSWER);
  path.setRoute({ idempotent: true }, true);
  path.directory.applyTable(
    "files",
    serializeTable(createTable([{ id: "a", address: "a:80" }], 1)),
    { offset: 1, nowMs: 0 },
  );
  path.setTarget("a", true);
  await path.clock.advance(500);
  await path.send({ key: 5 });
  assert.equal(path.sent.length, 1);
  await path.send({ key: 5 });
  assert.equal(path.sent.length, 1);
});

test("a caller that has left costs no target anything", async () => {
  const path = new Path(() => ANSWER);
  path.setRoute({});
  const controller = new AbortController();
  controller.abort();
  assert.equal(
    getFailure(await path.send({ signal: controller.signal })),
    "caller-left",
  );
  assert.equal(path.sent.length, 0);
});

test("unknown paths are told so, and no configuration is no reason to say it", async () => {
  const path = new Path(() => ANSWER);
  assert.equal(getFailure(await path.send()), "not-ready");
  path.setRoute({});
  assert.equal(
    getFailure(await path.send({ path: "/other/1" })),
    "no-such-route",
  );
});

test("a trial that a target refused unrun is not said to be unknown", async () => {
  const path = new Path(() => FULL);
  path.setRoute({ idempotent: true });
  path.recordCrashes();
  assert.equal(getFailure(await path.send()), "target-refused");
  assert.equal(path.sent.length, 1);
});

test("a trial whose answer is overdue is waited for", async () => {
  const path = new Path(() => SILENT);
  path.setRoute({ idempotent: true, timeoutMs: 5_000 });
  path.recordCrashes();
  await path.send({ deadlineMs: 5_000 }, 3_000);
  assert.deepEqual(path.sent.map(({ signal }) => signal.aborted), [false]);
});
