import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "@lentilspur/ports/seeded_random";
import type { KnownTarget } from "@lentilspur/ports/routing_table";
import {
  type PlaceDecision,
  type PlaceRequest,
  ServicePlaces,
} from "./service_places.ts";

function createTarget(id: string, dataCentre = "bole"): KnownTarget {
  return {
    id,
    service: "ledger",
    address: `${id}:80`,
    dataCentre,
    places: 2,
    leaving: false,
    coldMs: 0,
    coldUntilMs: -Infinity,
    sequence: 1,
  };
}

function createRequest(
  requestId: string,
  changes: Partial<PlaceRequest> = {},
): PlaceRequest {
  return {
    requestId,
    priority: 1,
    arrivedAtMs: 0,
    latestStartMs: 500,
    excluded: new Set(),
    ...changes,
  };
}

function createPlaces(...targets: KnownTarget[]): ServicePlaces {
  const places = new ServicePlaces({
    dataCentre: "bole",
    countInstances: () => 1,
    estimatePermitWaitMs: () => 0,
    random: new SeededRandom(1),
  });
  places.setTargets(targets);
  return places;
}

/** Offers a request; the decision is filled in once there is one. */
function offer(
  places: ServicePlaces,
  request: PlaceRequest,
  nowMs = 0,
): { decision?: PlaceDecision } {
  const result: { decision?: PlaceDecision } = {};
  places.submit(request, nowMs, (decision) => result.decision = decision);
  return result;
}

function getTarget(result: { decision?: PlaceDecision }): string | undefined {
  return result.decision?.kind === "placed"
    ? result.decision.target.id
    : undefined;
}

test("a target is never sent more than its places and two ahead", () => {
  // A target that is full may never answer, nor anything else on that
  // connection. What does not fit waits here, and goes when an answer comes.
  const places = createPlaces(createTarget("a"));
  const results = [1, 2, 3, 4, 5]
    .map((n) => offer(places, createRequest(`${n}`)));
  assert.deepEqual(results.map(getTarget), ["a", "a", "a", "a", undefined]);
  places.getLoad("a")!.recordEnded("1");
  places.dispatchQueued(10);
  assert.equal(getTarget(results[4]!), "a");
});

test("what other instances have at a target counts", () => {
  const places = createPlaces(createTarget("a"), createTarget("b", "kirkos"));
  places.getLoad("a")!.setPeerCount("other", 4, 0);
  assert.equal(getTarget(offer(places, createRequest("1"))), "b");
  const later = offer(
    places,
    createRequest("2", { latestStartMs: 5_000 }),
    2_000,
  );
  assert.equal(
    getTarget(later),
    "a",
    "an instance that is silent is forgotten",
  );
});

test("a target of the same data centre is preferred unless it is slower", () => {
  const places = createPlaces(createTarget("a", "yeka"), createTarget("b"));
  assert.equal(getTarget(offer(places, createRequest("1"))), "b");
  assert.equal(getTarget(offer(places, createRequest("2"))), "b");
  // A third would wait for half a work there, which costs less than the way.
  assert.equal(getTarget(offer(places, createRequest("3"))), "b");
  assert.equal(getTarget(offer(places, createRequest("4"))), "b");
  assert.equal(getTarget(offer(places, createRequest("5"))), "a");
});

test("the more urgent of two that wait is placed first", () => {
  const places = createPlaces(createTarget("a"));
  for (const n of [1, 2, 3, 4]) {
    offer(places, createRequest(`${n}`));
  }
  const late = offer(places, createRequest("late", { priority: 2 }));
  const urgent = offer(places, createRequest("urgent", { priority: 0 }), 5);
  places.getLoad("a")!.recordEnded("1");
  places.dispatchQueued(10);
  assert.equal(getTarget(urgent), "a");
  assert.equal(late.decision, undefined);
});

test("a request that cannot be in time is refused when it comes", () => {
  // Twice what the targets can do arrives for a second. Queued without a look,
  // every caller waits until its deadline and is then refused.
  const places = createPlaces(createTarget("a"));
  const load = places.getLoad("a")!;
  for (let n = 0; n < 3; n++) {
    offer(places, createRequest(`running-${n}`));
  }
  load.recordResponse(100, 0);
  let refusedAt = -1;
  for (let n = 0; n < 40 && refusedAt < 0; n++) {
    const { decision } = offer(places, createRequest(`${n}`));
    refusedAt = decision?.kind === "refused" ? n : -1;
  }
  // 500 ms are ten times 100 ms of work in two places.
  assert.ok(refusedAt >= 8 && refusedAt <= 12, `${refusedAt}`);
});

test("requests that wait elsewhere are ahead as well", () => {
  const places = createPlaces(createTarget("a"));
  places.getLoad("a")!.recordResponse(100, 0);
  places.setPeerQueueLengths("other", new Map([["", [0, 20]]]), 0);
  assert.equal(offer(places, createRequest("1")).decision?.kind, "refused");
});

test("what waits elsewhere and is less urgent is not ahead", () => {
  // Lookups flood a service. Counted as ahead of everything, they would have a
  // settlement refused that goes before all of them.
  const places = createPlaces(createTarget("a"));
  places.getLoad("a")!.recordResponse(100, 0);
  places.setPeerQueueLengths("other", new Map([["", [0, 0, 50]]]), 0);
  assert.equal(
    getTarget(offer(places, createRequest("1", { priority: 0 }))),
    "a",
  );
  assert.equal(
    offer(places, createRequest("2", { priority: 2 })).decision?.kind,
    "refused",
  );
});

test("a request waits for a fast target rather than be late at a slow one", () => {
  // The fast target is full, the slow one idle. Sent there, the request would
  // be late for certain; the fast one has room for it in time.
  const places = createPlaces(createTarget("slow"), createTarget("fast"));
  for (let count = 0; count < 30; count++) {
    places.getLoad("slow")!.recordResponse(900, 0);
    places.getLoad("fast")!.recordResponse(50, 0);
  }
  const changes = { latestStartMs: 100 };
  for (const n of [1, 2, 3, 4]) {
    assert.equal(
      getTarget(offer(places, createRequest(`${n}`, changes))),
      "fast",
    );
  }
  const waiting = offer(places, createRequest("5", changes));
  assert.equal(waiting.decision, undefined);
  places.getLoad("fast")!.recordEnded("1");
  places.dispatchQueued(20);
  assert.equal(getTarget(waiting), "fast");
});

test("an owner that does not answer is not waited for until the deadline", () => {
  // The one target that owns a key has fallen silent. Its callers wait their
  // whole deadlines in vain, although it is known.
  const places = createPlaces(createTarget("a"), createTarget("b"));
  const load = places.getLoad("a")!;
  load.recordUnresponsive(0);
  load.recordUnresponsive(0);
  load.recordUnresponsive(0);
  const result = offer(places, createRequest("1", { owner: "a" }));
  places.dispatchQueued(100);
  assert.equal(result.decision, undefined);
  places.dispatchQueued(300);
  assert.deepEqual(result.decision, {
    kind: "refused",
    reason: "owner-silent",
    retryAfterMs: 300,
  });
});

test("a target that fails half of its work is asked seldom", () => {
  // Its health check is good and it fails fast, so that it always looks idle
  // and would draw most of the requests to itself.
  const places = createPlaces(createTarget("a"), createTarget("b"));
  for (let n = 0; n < 30; n++) {
    places.getLoad("a")!.recordFailure(n);
    places.getLoad("b")!.recordResponse(80, 0);
  }
  const chosen = [1, 2].map((n) =>
    getTarget(
      offer(places, createRequest(`${n}`, { latestStartMs: 5_000 }), 1_000),
    )
  );
  assert.deepEqual(chosen, ["b", "b"]);
});

test("a target does not look slow for the wait of its callers", () => {
  // A hot key keeps a target full. Its answers take three times as long as its
  // work, and what waits there is known only in part. Taken for a slow target,
  // it would lose the key to another, which would look slow next.
  const places = createPlaces(createTarget("a"));
  const load = places.getLoad("a")!;
  for (let count = 0; count < 20; count++) {
    load.recordResponse(50, 1);
  }
  for (let count = 0; count < 50; count++) {
    load.recordResponse(150, 2);
  }
  assert.equal(Math.round(load.unloadedServiceMs!), 50);
  for (let count = 0; count < 50; count++) {
    load.recordResponse(600, 2);
  }
  assert.ok(load.unloadedServiceMs! > 300, "a target that turned slow shows");
});
