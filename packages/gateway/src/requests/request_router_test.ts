import assert from "node:assert/strict";
import { test } from "node:test";
import { Ok } from "@lentilspur/outcomes/result";
import type {
  OutgoingRequest,
  SendOutcome,
} from "@lentilspur/ports/request_sender";
import type { StreamEnd } from "@lentilspur/ports/response_stream";
import type { Route, RoutingTable } from "@lentilspur/ports/routing_table";
import { SeededRandom } from "@lentilspur/ports/seeded_random";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { LAST_KEY } from "@lentilspur/ports/key_orders";
import {
  applyReassignments,
  createKeyTable,
  serializeTable,
} from "@lentilspur/ownership/key_table";
import { AccountAdmission } from "../entry/account_admission.ts";
import type { CallerRequest, FinalResponse } from "../entry/caller_request.ts";
import { Catalogue } from "../views/catalogue.ts";
import { Duties } from "../members/duties.ts";
import { KeyDirectory } from "../views/key_directory.ts";
import { createMember, createMembers } from "../members/member_fixtures.ts";
import { ForwardingPeers } from "../forwarding/forwarding_peers.ts";
import { RequestForwarder } from "../forwarding/request_forwarder.ts";
import { PathMonitor } from "../paths/path_monitor.ts";
import { LeavingTargets } from "./leaving_targets.ts";
import { TargetLimits } from "./target_limits.ts";
import { TargetRateLimiter } from "./target_rate_limiter.ts";
import { computeFingerprint } from "./request_fingerprint.ts";
import { RequestQuarantine } from "./request_quarantine.ts";
import type { RequestEvent } from "./request_reporter.ts";
import { RequestRouter } from "./request_router.ts";
import { type LateRequests, ServiceRegistry } from "./service_registry.ts";
import { StopAdmission } from "./stop_admission.ts";

const RESPONSE: SendOutcome = {
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
/** A target that sends no response; the send ends when it is aborted. */
const SILENT: SendOutcome = {
  kind: "unknown",
  cause: "cancelled",
  message: "silent",
};
const FULL: SendOutcome = {
  kind: "not-run",
  cause: "full",
  proof: "refusal-with-id",
  message: "full",
};
const NOT_OWNER: SendOutcome = {
  kind: "not-run",
  cause: "not-owner",
  proof: "refusal-with-id",
  message: "not owner",
};
const NO_CONNECTION: SendOutcome = {
  kind: "not-run",
  cause: "unreachable",
  proof: "no-connection",
  message: "refused",
};

/** The router of one instance, with the outcomes of its sends set by a test. */
class RouterFixture {
  readonly clock = new VirtualClock();
  readonly sent: OutgoingRequest[] = [];
  readonly directory = new KeyDirectory();
  readonly catalogue: Catalogue;
  readonly accounts = new AccountAdmission(this.clock);
  readonly router: RequestRouter;
  readonly quarantine: RequestQuarantine;
  readonly events: RequestEvent[] = [];
  readonly late: LateRequests[] = [];
  readonly services: ServiceRegistry;
  readonly stopAdmission = new StopAdmission(this.clock);
  isReadAheadUsedUp = false;
  #version = 0;

  constructor(
    getOutcome: (request: OutgoingRequest, attempt: number) => SendOutcome,
  ) {
    this.catalogue = new Catalogue({
      decodeConfiguration: (text) => Ok(this.#decode(text)),
      decodeTarget: (id, text) => Ok({ id, ...JSON.parse(text) }),
      observe: () => undefined,
    });
    this.services = new ServiceRegistry({
      clock: this.clock,
      catalogue: this.catalogue,
      dataCentre: "bole",
      startedAtMs: -Infinity,
      retryLimits: { ratio: 0.2, reserve: 64, windowMs: 10_000 },
      random: new SeededRandom(1),
      countInstances: () => 1,
      getMembership: () => ({ instances: 1, sinceMs: -Infinity }),
      observeLate: (event) => this.late.push(event),
      estimatePermitWaitMs: () => 0,
      isPathLost: () => false,
      hasIdleConnection: () => false,
    });
    const { services } = this;
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
        countLostPaths: () => 0,
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
    const rateLimiter = new TargetRateLimiter({
      ...shared,
      limits,
      findMember,
      getColdPerSecond: () => undefined,
      onLatePermit: () => undefined,
    });
    const leaving = new LeavingTargets({
      ...shared,
      catalogue: this.catalogue,
      onWithdrawn: () => services.update(),
    });
    const paths = new PathMonitor({
      clock: this.clock,
      random: new SeededRandom(2),
      prober: {
        probe: () =>
          Promise.resolve({ kind: "failed", failure: "no-connection" }),
      },
      findTarget: (id) => this.catalogue.getTarget(id),
      listTargets: () => this.catalogue.listAllTargets(),
      findHealthPath: () => undefined,
      checkElsewhere: () => Promise.resolve({ kind: "unknown" }),
      onUnreachable: () => undefined,
      onRegained: () => undefined,
      observe: () => undefined,
    });
    const forwarder = new RequestForwarder({
      stopAdmission: this.stopAdmission,
      clock: this.clock,
      instance: self.instance,
      incarnation: self.incarnation,
      client: {
        forward: () =>
          Promise.resolve({
            kind: "unreached",
            proof: "no-connection",
            message: "none",
          }),
        fetchReachability: () => Promise.resolve("unknown"),
      },
      peers: new ForwardingPeers({
        clock: this.clock,
        random: new SeededRandom(3),
        dataCentre: self.dataCentre,
        members,
      }),
      paths,
      services,
      findTarget: (id) => this.catalogue.getTarget(id),
    });
    this.router = new RequestRouter({
      clock: this.clock,
      random: new SeededRandom(4),
      catalogue: this.catalogue,
      directory: this.directory,
      services,
      accounts: this.accounts,
      quarantine: this.quarantine,
      limits,
      leaving,
      rateLimiter,
      paths,
      forwarder,
      findMember,
      observeKey: () => undefined,
      handleOwnerMiss: () => undefined,
      sender: {
        hasIdleConnection: () => false,
        send: async (request) => {
          this.sent.push(request);
          const outcome = getOutcome(request, this.sent.length);
          await this.clock
            .sleep(outcome === SILENT ? 4_000 : 20, request.signal);
          return outcome;
        },
      },
      getWithdrawalGraceMs: () => 1_000,
      stopAdmission: this.stopAdmission,
      isReadAheadUsedUp: () => this.isReadAheadUsedUp,
      observe: (event) => this.events.push(event),
    });
    for (const id of ["a", "b"]) {
      this.setTarget(id);
    }
    void services.run(new AbortController().signal);
  }

  setTarget(id: string, leaving = false, service = "files"): void {
    const target = {
      service,
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

  /** Assigns all keys to a target. */
  setOwner(id: string, token: number): void {
    const table = createKeyTable([{ id, address: `${id}:80` }], token);
    this.directory.setTable("files", table, {
      offset: token,
      nowMs: this.clock.readMs(),
    });
  }

  setRoute(changes: Partial<Route>, keyed = false): void {
    this.#version++;
    this.catalogue.applyConfiguration(
      JSON.stringify({ changes, keyed, version: this.#version }),
    );
  }

  /**
   * Sends a request; returns its response if there is one within `advanceMs`.
   */
  async send(
    changes: Partial<CallerRequest> = {},
    advanceMs = 2_000,
  ): Promise<FinalResponse | undefined> {
    const sent = this.open(changes);
    await this.clock.advance(advanceMs);
    return sent.response;
  }

  /** Sends a request; the response is set when there is one. */
  open(
    changes: Partial<CallerRequest> = {},
  ): { readonly response?: FinalResponse } {
    const sent: { response?: FinalResponse } = {};
    void this.router.handle({ ...this.#createRequest(), ...changes })
      .then((response) => sent.response = response);
    return sent;
  }

  /** Starts a stop; the times count from now. */
  startStop(estimatesMs: number, lastResponseMs: number): void {
    const nowMs = this.clock.readMs();
    this.stopAdmission.start({
      estimatesUntilMs: nowMs + estimatesMs,
      lastResponseMs: nowMs + lastResponseMs,
    });
  }

  /**
   * Records that three targets crashed a minute ago while they ran the request.
   */
  recordCrashes(): void {
    const request = this.#createRequest();
    const { route } = this.catalogue.match(request)!;
    const incarnations = ["x", "y", "z"];
    this.quarantine.apply({
      kind: "suspects",
      from: "bole-2",
      dataCentre: "bole",
      reports: [{
        fingerprint: computeFingerprint(request, route),
        crashes: incarnations.map((incarnation) =>
          [incarnation, 60_000, 60_030] as const
        ),
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
      services: new Map(
        ["files", "pages"].map((name) => [
          name,
          { name, keyed, maxConnections: 10 },
        ]),
      ),
      limits: { maxBodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 },
      access: { kind: "open" },
    };
  }
}

function getFailure(response: FinalResponse | undefined): string {
  return response?.kind === "failed"
    ? response.failure
    : String(response?.kind);
}

test("a request that is not idempotent is not sent again when its connection breaks", async () => {
  // A target may charge a deposit and crash before it answers. A second send
  // would charge it twice, so the caller receives an unknown outcome.
  const fixture = new RouterFixture(() => RESET);
  fixture.setRoute({ idempotent: false });
  const response = await fixture.send();
  assert.equal(fixture.sent.length, 1);
  assert.equal(getFailure(response), "answer-lost");
});

test("an idempotent request is sent to another target when its connection breaks", async () => {
  const fixture = new RouterFixture((_request, attempt) =>
    attempt === 1 ? RESET : RESPONSE
  );
  fixture.setRoute({ idempotent: true });
  assert.equal((await fixture.send())?.kind, "answered");
  assert.notEqual(fixture.sent[0]!.targetId, fixture.sent[1]!.targetId);
});

test("a request with too little time for another answer ends as late, not as lost", async () => {
  const fixture = new RouterFixture((_request, attempt) =>
    attempt === 1 ? RESPONSE : { ...RESET, cause: "silent" }
  );
  fixture.setRoute({ idempotent: true });
  await fixture.send();
  const response = await fixture.send({ deadlineMs: 45 });
  assert.equal(fixture.sent.length, 2);
  assert.equal(getFailure(response), "answer-late");
});

test("a refused request is sent at most `maxAttempts` times", async () => {
  const fixture = new RouterFixture(() => FULL);
  fixture.setRoute({ idempotent: false, maxAttempts: 2 });
  const response = await fixture.send();
  assert.equal(fixture.sent.length, 2);
  assert.equal(getFailure(response), "target-refused");
});

test("a refusal after a lost response does not report the request as not run", async () => {
  // The first response is lost, and the other target refuses the request. A 503
  // would promise that the request has not run.
  const fixture = new RouterFixture((_request, attempt) =>
    attempt === 1 ? RESET : FULL
  );
  fixture.setRoute({ idempotent: true });
  assert.equal(getFailure(await fixture.send()), "answer-late");
});

test("a request that could not connect is sent to another target even if no attempt is left", async () => {
  const fixture = new RouterFixture((request) =>
    request.targetId === "a" ? NO_CONNECTION : RESPONSE
  );
  fixture.setRoute({ idempotent: false, maxAttempts: 1 });
  assert.equal((await fixture.send())?.kind, "answered");
});

test("an idempotent request whose response is overdue is sent again, but not during a shutdown", async () => {
  // Without a retry, a lost response makes the caller wait until its deadline.
  // An instance that shuts down must not abort a send that a target is working
  // on, since it may have no time left for another one.
  const fixture = new RouterFixture((_request, attempt) =>
    attempt === 1 ? SILENT : RESPONSE
  );
  fixture.setRoute({ idempotent: true, timeoutMs: 5_000 });
  assert.equal((await fixture.send({ deadlineMs: 5_000 }))?.kind, "answered");
  assert.equal(fixture.sent.length, 2);
  fixture.startStop(Infinity, Infinity);
  fixture.sent.length = 0;
  await fixture.send({ deadlineMs: 5_000 });
  assert.equal(fixture.sent.length, 1);
});

test("a refused request whose service changes is not retried beyond the budget of the new service", async () => {
  const toPages = { parts: [{ service: "pages", weight: 1 }] };
  let isChanging = false;
  const fixture = new RouterFixture(() => {
    if (isChanging) {
      fixture.setRoute(toPages);
    }
    return FULL;
  });
  fixture.setTarget("c", false, "pages");
  fixture.setTarget("d", false, "pages");
  fixture.setRoute(toPages);
  for (let count = 0; count < 100; count++) {
    const requestId = `p${count}`;
    await fixture.send({ requestId, deadlineMs: undefined }, 50);
  }
  fixture.setRoute({});
  isChanging = true;
  await fixture.send({ deadlineMs: undefined });
  const sent = fixture.sent.filter(({ requestId }) => requestId === "r1");
  assert.equal(sent.length, 1);
});

test("a retry counts as open while the send before it may still arrive", async () => {
  const fixture = new RouterFixture((_request, attempt) =>
    attempt === 1 ? SILENT : RESPONSE
  );
  fixture.setRoute({ idempotent: true, timeoutMs: 5_000 });
  await fixture.send({ deadlineMs: 5_000 }, 0);
  while (fixture.sent.length < 2) {
    await fixture.clock.advance(10);
  }
  await fixture.clock.advance(100);
  assert.equal(fixture.services.countOpenRetries(), 1);
  await fixture.clock.advance(500);
  assert.equal(fixture.services.countOpenRetries(), 0);
});

test("requests that have waited for long are reported once a second", async () => {
  const fixture = new RouterFixture(() => RESPONSE);
  fixture.setRoute({});
  const arrivedAtMs = fixture.clock.readMs() - 700;
  await Promise.all([
    fixture.send({ arrivedAtMs }, 500),
    fixture.send({ requestId: "r2", arrivedAtMs }, 500),
  ]);
  await fixture.clock.advance(2_000);
  assert.deepEqual(fixture.late, [{ requests: 2, latenessMs: 700 }]);
});

test("a retry that could not connect is left to the next send of its request", async () => {
  const outcomes = [FULL, NO_CONNECTION, FULL];
  const fixture = new RouterFixture((_, attempt) => outcomes[attempt - 1]!);
  fixture.setTarget("c");
  fixture.setRoute({ maxAttempts: 3 });
  await fixture.send();
  const sends = fixture.events.filter(({ kind }) => kind === "send");
  const claims = sends.map((event) =>
    event.kind === "send" ? event.retryClaim?.kind : undefined
  );
  assert.deepEqual(claims, [undefined, "granted", "granted"]);
});

test("a target receives the lower of the caller's deadline and the route's timeout", async () => {
  const fixture = new RouterFixture(() => RESPONSE);
  fixture.setRoute({ timeoutMs: 400 });
  await fixture.send({ deadlineMs: 900 });
  await fixture.send({ deadlineMs: 300 });
  assert.equal(fixture.sent[0]!.remainingMs, 400);
  assert.ok(fixture.sent[1]!.remainingMs < 300);
});

test("a request for a key without an owner waits, but not until its deadline", async () => {
  // The owner of the key has failed, and its hold lasts for seconds. Callers
  // that wait in vain until their deadlines could have retried in time.
  const fixture = new RouterFixture(() => RESPONSE);
  fixture.setRoute({ idempotent: true }, true);
  const response = await fixture.send({ key: 5 }, 350);
  assert.equal(getFailure(response), "owner-changing");
  assert.equal(fixture.sent.length, 0);
});

test("a request for a key whose move takes long is refused at once", async () => {
  // A third of the targets fail at once, and their keys have no owner for
  // seconds until the holds expire. Without the refusal every caller would wait
  // 0.3 s in vain.
  const fixture = new RouterFixture(() => RESPONSE);
  fixture.setRoute({ idempotent: true }, true);
  const [from, to] = ["a", "b"].map((id) => ({ id, address: `${id}:80` }));
  const moving = applyReassignments(
    createKeyTable([from!], 1),
    [{ from: 0, to: LAST_KEY, owner: to! }],
    2,
  );
  fixture.directory.applyTable("files", serializeTable(moving), {
    offset: 2,
    nowMs: fixture.clock.readMs(),
  });
  assert.equal(getFailure(await fixture.send({ key: 5 }, 250)), "undefined");
  await fixture.clock.advance(500);
  assert.equal(getFailure(await fixture.send({ key: 5 }, 5)), "owner-changing");
});

test("a request goes to the owner of its key, and to the new owner after a move", async () => {
  const fixture = new RouterFixture(() => RESPONSE);
  fixture.setRoute({ idempotent: true }, true);
  const owners = ["a", "b"].map((id) => ({ id, address: `${id}:80` }));
  fixture.directory.applyTable(
    "files",
    serializeTable(createKeyTable([owners[0]!], 1)),
    { offset: 1, nowMs: 0 },
  );
  await fixture.send({ key: 5 });
  fixture.directory.applyTable(
    "files",
    serializeTable(createKeyTable([owners[1]!], 2)),
    { offset: 2, nowMs: 0 },
  );
  await fixture.send({ key: 5 });
  assert.deepEqual(fixture.sent.map(({ targetId }) => targetId), ["a", "b"]);
});

test("a leaving owner receives no requests when its time is nearly over", async () => {
  // The keeper fails just when a target leaves, so the target's keys do not
  // move.
  const fixture = new RouterFixture(() => RESPONSE);
  fixture.setRoute({ idempotent: true }, true);
  fixture.directory.applyTable(
    "files",
    serializeTable(createKeyTable([{ id: "a", address: "a:80" }], 1)),
    { offset: 1, nowMs: 0 },
  );
  fixture.setTarget("a", true);
  await fixture.clock.advance(500);
  await fixture.send({ key: 5 });
  assert.equal(fixture.sent.length, 1);
  await fixture.send({ key: 5 });
  assert.equal(fixture.sent.length, 1);
});

test("a request whose caller has disconnected is not sent", async () => {
  const fixture = new RouterFixture(() => RESPONSE);
  fixture.setRoute({});
  const controller = new AbortController();
  controller.abort();
  assert.equal(
    getFailure(await fixture.send({ signal: controller.signal })),
    "caller-left",
  );
  assert.equal(fixture.sent.length, 0);
});

test("a path is reported as unknown only once a configuration is loaded", async () => {
  const fixture = new RouterFixture(() => RESPONSE);
  assert.equal(getFailure(await fixture.send()), "not-ready");
  fixture.setRoute({});
  assert.equal(
    getFailure(await fixture.send({ path: "/other/1" })),
    "no-such-route",
  );
});

test("a trial that a target refused is reported as not run", async () => {
  const fixture = new RouterFixture(() => FULL);
  fixture.setRoute({ idempotent: true });
  fixture.recordCrashes();
  assert.equal(getFailure(await fixture.send()), "target-refused");
  assert.equal(fixture.sent.length, 1);
});

test("a trial whose response is overdue is not aborted", async () => {
  const fixture = new RouterFixture(() => SILENT);
  fixture.setRoute({ idempotent: true, timeoutMs: 5_000 });
  fixture.recordCrashes();
  await fixture.send({ deadlineMs: 5_000 }, 3_000);
  assert.deepEqual(fixture.sent.map(({ signal }) => signal.aborted), [false]);
});

test("a request is not sent again to an owner that refused it while nothing has changed", async () => {
  const fixture = new RouterFixture(() => NOT_OWNER);
  fixture.setRoute({ idempotent: true }, true);
  fixture.setOwner("a", 1);
  const failure = getFailure(await fixture.send({ key: 5 }));
  assert.equal(failure, "owner-changing");
  assert.equal(fixture.sent.length, 1);
});

test("a request that an owner refused goes to the owner that the key moves to meanwhile", async () => {
  const fixture = new RouterFixture(({ targetId }) =>
    targetId === "a" ? NOT_OWNER : RESPONSE
  );
  fixture.setRoute({ idempotent: true }, true);
  fixture.setOwner("a", 1);
  void fixture.clock.sleep(150).then(() => fixture.setOwner("b", 2));
  const response = await fixture.send({ key: 5 });
  assert.equal(response?.kind, "answered");
  assert.deepEqual(fixture.sent.map(({ targetId }) => targetId), ["a", "b"]);
});

test("a request that an owner refused does not wait when too little time is left to run it", async () => {
  const fixture = new RouterFixture(({ targetId }) =>
    targetId === "a" ? NOT_OWNER : RESPONSE
  );
  fixture.setRoute({ idempotent: true }, true);
  fixture.setOwner("b", 1);
  await fixture.send({ key: 5 });
  fixture.setOwner("a", 2);
  const failure = getFailure(
    await fixture.send({ key: 5, deadlineMs: 45 }, 39),
  );
  assert.equal(failure, "owner-changing");
});

/** Answers with a stream whose end the test determines. */
function createStreamedResponse(): {
  readonly outcome: SendOutcome;
  readonly end: (end: StreamEnd) => void;
} {
  let resolve: (end: StreamEnd) => void = () => undefined;
  const ended = new Promise<StreamEnd>((settle) => resolve = settle);
  const stream = {
    length: 100_000,
    ended,
    buffered: ended.then(() => true),
    read: () => Promise.resolve({ kind: "end" as const }),
    cancel: () => undefined,
  };
  return {
    outcome: { ...RESPONSE, kind: "answered", stream } as SendOutcome,
    end: resolve,
  };
}

test("a response that breaks off after its first byte is not requested again", async () => {
  const { outcome, end } = createStreamedResponse();
  const fixture = new RouterFixture(() => outcome);
  fixture.setRoute({ idempotent: true });
  const response = await fixture.send();
  assert.equal(response?.kind, "answered");
  end({ kind: "broken", cause: "cut", message: "lost", bytes: 70_000 });
  await fixture.clock.advance(2_000);
  assert.equal(fixture.sent.length, 1);
  const [sent, final] = fixture.events;
  assert.equal(sent?.kind === "send" && sent.cause, "cut");
  assert.equal(final?.outcome, "broken-off");
  assert.equal(final?.kind === "final" && final.streamedBytes, 70_000);
});

test("a streamed response holds its place until the target has sent the last byte", async () => {
  const streams = Array.from({ length: 20 }, () => createStreamedResponse());
  const fixture = new RouterFixture((_request, attempt) =>
    streams[attempt - 1]!.outcome
  );
  fixture.setRoute({ idempotent: true, timeoutMs: 60_000, goalMs: 60_000 });
  for (const index of streams.keys()) {
    await fixture.send({ requestId: `r${index}`, deadlineMs: 60_000 }, 30);
  }
  const busy = fixture.sent.length;
  assert.ok(busy >= 4 && busy < 10, `${busy} sends at 4 places`);
  assert.ok(fixture.events.every(({ kind }) => kind !== "send"));
  streams[0]!.end({ kind: "complete", bytes: 100_000 });
  await fixture.clock.advance(100);
  assert.equal(fixture.sent.length, busy + 1);
  const sends = fixture.events.filter(({ kind }) => kind === "send");
  assert.deepEqual(sends.map(({ outcome }) => outcome), ["answered"]);
});

test("a download is refused at once while the memory for large responses is used up", async () => {
  const fixture = new RouterFixture(() => RESPONSE);
  fixture.isReadAheadUsedUp = true;
  fixture.setRoute({ isDownload: true });
  const response = await fixture.send({}, 0);
  assert.equal(getFailure(response), "overloaded");
  assert.ok(response?.kind === "failed" && response.retryAfterMs! > 0);
  assert.equal(fixture.sent.length, 0);
  fixture.setRoute({});
  assert.equal((await fixture.send())?.kind, "answered");
});

test("a request that could outlast a stop is refused before a target has it", async () => {
  const fixture = new RouterFixture(() => RESPONSE);
  fixture.setRoute({ timeoutMs: 3_000 });
  fixture.startStop(0, 2_900);
  const refused = await fixture.send({ deadlineMs: 5_000 }, 0);
  assert.deepEqual(
    [refused?.kind === "failed" && refused.failure, fixture.sent.length],
    ["stopping", 0],
  );
  const sent = await fixture.send({ requestId: "r2", deadlineMs: 2_800 });
  assert.equal(sent?.kind, "answered");
});

test("a refusal during a stop costs no caller a retry whose request usually ends in time", async () => {
  const fixture = new RouterFixture(() => RESPONSE);
  fixture.setRoute({ timeoutMs: 10_000 });
  for (let count = 0; count < 60; count++) {
    await fixture.send({ requestId: `e${count}`, deadlineMs: 10_000 }, 50);
  }
  fixture.startStop(1_000, 3_000);
  const early = await fixture.send({ requestId: "a", deadlineMs: 9_000 }, 999);
  assert.equal(early?.kind, "answered");
  await fixture.clock.advance(2);
  const late = await fixture.send({ requestId: "b", deadlineMs: 9_000 }, 0);
  assert.equal(late?.kind === "failed" && late.failure, "stopping");
});

test("a stop admits no long request on an estimate that has missed slow ones", async () => {
  const fixture = new RouterFixture((_request, attempt) =>
    attempt === 30 ? SILENT : RESPONSE
  );
  fixture.setRoute({ timeoutMs: 10_000 });
  for (let count = 0; count < 60; count++) {
    await fixture.send({ requestId: `e${count}`, deadlineMs: 10_000 }, 5_000);
  }
  fixture.startStop(1_000, 3_000);
  const refused = await fixture.send({ deadlineMs: 9_000 }, 0);
  assert.equal(refused?.kind === "failed" && refused.failure, "stopping");
});

test("a request that waits when a stop begins is refused once it could outlast it, and never sent", async () => {
  const fixture = new RouterFixture(() => SILENT);
  fixture.setRoute({ timeoutMs: 8_000, goalMs: 6_000 });
  for (let count = 0; count < 20; count++) {
    fixture.open({ requestId: `s${count}`, deadlineMs: 8_000 });
  }
  const waiting = fixture.open({ requestId: "w", deadlineMs: 8_000 });
  await fixture.clock.advance(100);
  fixture.startStop(0, 5_000);
  fixture.router.refuseLate();
  await fixture.clock.advance(0);
  const { response } = waiting;
  assert.equal(response?.kind === "failed" && response.failure, "stopping");
  await fixture.clock.advance(10_000);
  assert.ok(!fixture.sent.some(({ requestId }) => requestId === "w"));
});

test("callers whose requests are at a target when the process ends are told that the outcome is unknown", async () => {
  const fixture = new RouterFixture(() => SILENT);
  fixture.setRoute({});
  const sent = fixture.open();
  await fixture.clock.advance(50);
  assert.deepEqual(fixture.router.countOpenByStage(), { sent: 1 });
  fixture.router.stopAll();
  await fixture.clock.advance(0);
  const { response } = sent;
  assert.equal(response?.kind === "failed" && response.failure, "answer-lost");
  const final = fixture.events.find(({ kind }) => kind === "final");
  assert.ok(final?.kind === "final" && final.stage === "sent");
});

test("the final line of a request that gets no place has the estimate that decided", async () => {
  const fixture = new RouterFixture(() => RESPONSE);
  fixture.setRoute({});
  fixture.setTarget("b", true);
  await fixture.send({}, 500);
  const response = await fixture.send({ deadlineMs: 20 });
  assert.ok(response?.kind === "failed" && response.failure === "overloaded");
  const final = fixture.events.at(-1);
  assert.ok(final?.kind === "final");
  assert.deepEqual(final.refusal, {
    reason: "overloaded",
    averageServiceMs: 20,
    lastSendAgeMs: 500,
    ahead: 0,
    targets: 1,
    acceptingTargets: 1,
  });
});
