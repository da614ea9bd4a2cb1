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
    isPathLost: () => false,
    hasIdleConnection: () => false,
    random: new SeededRandom(1),
  });
  places.setTargets(targets);
  return places;
}

/** Submits a request; `decision` is set once it is made. */
function submit(
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

test("a target gets at most two requests more than it has places", () => {
  // An overloaded target may never answer this or any other request on the
  // connection. Excess requests are queued here and sent when a response
  // arrives.
  const places = createPlaces(createTarget("a"));
  const results = [1, 2, 3, 4, 5]
    .map((n) => submit(places, createRequest(`${n}`)));
  assert.deepEqual(results.map(getTarget), ["a", "a", "a", "a", undefined]);
  places.getLoad("a")!.recordEnded("1");
  places.dispatchQueued(10);
  assert.equal(getTarget(results[4]!), "a");
});

test("requests of other instances at a target count", () => {
  const places = createPlaces(createTarget("a"), createTarget("b", "kirkos"));
  places.getLoad("a")!.setPeerCount("other", 4, 0);
  assert.equal(getTarget(submit(places, createRequest("1"))), "b");
  const later = submit(
    places,
    createRequest("2", { latestStartMs: 5_000 }),
    2_000,
  );
  assert.equal(
    getTarget(later),
    "a",
    "the count of an instance that no longer reports expires",
  );
});

test("a target of the same data centre is preferred unless it is slower", () => {
  const places = createPlaces(createTarget("a", "yeka"), createTarget("b"));
  assert.equal(getTarget(submit(places, createRequest("1"))), "b");
  assert.equal(getTarget(submit(places, createRequest("2"))), "b");
  // The third waits for half a service time there, which costs less than a
  // remote target.
  assert.equal(getTarget(submit(places, createRequest("3"))), "b");
  assert.equal(getTarget(submit(places, createRequest("4"))), "b");
  assert.equal(getTarget(submit(places, createRequest("5"))), "a");
});

test("the more urgent of two queued requests is placed first", () => {
  const places = createPlaces(createTarget("a"));
  for (const n of [1, 2, 3, 4]) {
    submit(places, createRequest(`${n}`));
  }
  const late = submit(places, createRequest("late", { priority: 2 }));
  const urgent = submit(places, createRequest("urgent", { priority: 0 }), 5);
  places.getLoad("a")!.recordEnded("1");
  places.dispatchQueued(10);
  assert.equal(getTarget(urgent), "a");
  assert.equal(late.decision, undefined);
});

test("a request that cannot be in time is refused on arrival", () => {
  // Twice the capacity arrives for a second. If everything were queued, every
  // caller would wait until its deadline and then be refused.
  const places = createPlaces(createTarget("a"));
  const load = places.getLoad("a")!;
  for (let n = 0; n < 3; n++) {
    submit(places, createRequest(`running-${n}`));
  }
  load.recordResponse(100, 0);
  let refusedAt = -1;
  for (let n = 0; n < 40 && refusedAt < 0; n++) {
    const { decision } = submit(places, createRequest(`${n}`));
    refusedAt = decision?.kind === "refused" ? n : -1;
  }
  // In 500 ms, two places complete ten requests of 100 ms each.
  assert.ok(refusedAt >= 8 && refusedAt <= 12, `${refusedAt}`);
});

test("requests queued at other instances count as ahead", () => {
  const places = createPlaces(createTarget("a"));
  places.getLoad("a")!.recordResponse(100, 0);
  places.setPeerQueueLengths("other", new Map([["", [0, 20]]]), 0);
  assert.equal(submit(places, createRequest("1")).decision?.kind, "refused");
});

test("less urgent requests queued at other instances do not count as ahead", () => {
  // A flood of requests with priority 2 arrives. If they counted as ahead of
  // everything, a request with priority 0 would be refused.
  const places = createPlaces(createTarget("a"));
  places.getLoad("a")!.recordResponse(100, 0);
  places.setPeerQueueLengths("other", new Map([["", [0, 0, 50]]]), 0);
  assert.equal(
    getTarget(submit(places, createRequest("1", { priority: 0 }))),
    "a",
  );
  assert.equal(
    submit(places, createRequest("2", { priority: 2 })).decision?.kind,
    "refused",
  );
});

test("a request waits for a fast target rather than be late at a slow one", () => {
  // The fast target is full and the slow one is idle. On the slow target the
  // request would certainly be late; the fast one has room in time.
  const places = createPlaces(createTarget("slow"), createTarget("fast"));
  for (let count = 0; count < 30; count++) {
    places.getLoad("slow")!.recordResponse(900, 0);
    places.getLoad("fast")!.recordResponse(50, 0);
  }
  const changes = { latestStartMs: 100 };
  for (const n of [1, 2, 3, 4]) {
    assert.equal(
      getTarget(submit(places, createRequest(`${n}`, changes))),
      "fast",
    );
  }
  const waiting = submit(places, createRequest("5", changes));
  assert.equal(waiting.decision, undefined);
  places.getLoad("fast")!.recordEnded("1");
  places.dispatchQueued(20);
  assert.equal(getTarget(waiting), "fast");
});

test("a request for an unresponsive owner is refused before its deadline", () => {
  // The only owner of a key does not respond. Its callers must not wait until
  // their deadlines once that is known.
  const places = createPlaces(createTarget("a"), createTarget("b"));
  const load = places.getLoad("a")!;
  load.recordUnresponsive(0);
  load.recordUnresponsive(0);
  load.recordUnresponsive(0);
  const result = submit(places, createRequest("1", { owner: "a" }));
  places.dispatchQueued(100);
  assert.equal(result.decision, undefined);
  places.dispatchQueued(300);
  assert.deepEqual(result.decision, {
    kind: "refused",
    reason: "owner-silent",
    retryAfterMs: 300,
  });
});

test("a target that fails its requests is rarely chosen", () => {
  // The target passes its health check but fails fast, so it always looks idle
  // and would attract most of the requests.
  const places = createPlaces(createTarget("a"), createTarget("b"));
  for (let n = 0; n < 30; n++) {
    places.getLoad("a")!.recordFailure(n);
    places.getLoad("b")!.recordResponse(80, 0);
  }
  const chosen = [1, 2].map((n) =>
    getTarget(
      submit(places, createRequest(`${n}`, { latestStartMs: 5_000 }), 1_000),
    )
  );
  assert.deepEqual(chosen, ["b", "b"]);
});

test("queueing time does not make a target look slow", () => {
  // A hot key keeps a target full: its responses take three times the service
  // time, and its queue is known only in part. If it counted as slow, the key
  // would move to another target, which would look slow next.
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
  assert.ok(
    load.unloadedServiceMs! > 300,
    "a target that has become slow is detected",
  );
});

test("a send is not given up for a target that wants a pause, does not respond or is excluded", () => {
  const places = createPlaces(createTarget("a"), createTarget("b"));
  const excluded = new Set(["b"]);
  assert.ok(places.hasRoom({ excluded }, 0));
  places.recordBackoff("a", 100, 0);
  assert.ok(!places.hasRoom({ excluded }, 0));
  assert.ok(!places.hasRoom({ owner: "a", excluded }, 0));
  assert.ok(places.hasRoom({ excluded }, 100));
  places.getLoad("a")!.recordUnresponsive(100);
  assert.ok(!places.hasRoom({ owner: "a", excluded }, 100));
});

test("an outdated estimate refuses all requests but one recheck, and its response corrects the estimate", () => {
  const places = createPlaces(createTarget("a"));
  submit(places, createRequest("0"));
  places.getLoad("a")!.recordEnded("0");
  places.getLoad("a")!.recordTimeout(4_000);
  const late = (n: number, nowMs: number) =>
    submit(places, createRequest(`${n}`, { latestStartMs: nowMs - 1 }), nowMs);
  const recheck = late(1, 2_000);
  assert.ok(recheck.decision?.kind === "placed" && recheck.decision.isRecheck);
  assert.equal(late(2, 2_000).decision?.kind, "refused", "during the recheck");
  places.getLoad("a")!.recordEnded("1");
  places.recordRecheckEnd("a", "1", { end: "failed", elapsedMs: 500 });
  assert.equal(
    late(3, 2_500).decision?.kind,
    "refused",
    "just after the recheck",
  );
  assert.equal(getTarget(late(4, 4_000)), "a");
  places.getLoad("a")!.recordEnded("4");
  places.recordRecheckEnd("a", "4", { end: "responded", elapsedMs: 100 });
  places.getLoad("a")!.recordResponse(100, 0);
  assert.equal(places.getAverageServiceMs(), 100);
});

test("each response to a recheck doubles the number of rechecks, and a failure ends all but one", () => {
  const ids = ["a", "b", "c", "d"];
  const places = createPlaces(...ids.map((id) => createTarget(id)));
  let requests = 0;
  const submitLate = (nowMs: number) =>
    ids.map(() => {
      const requestId = `${requests++}`;
      const changes = { latestStartMs: nowMs - 1 };
      const result = submit(places, createRequest(requestId, changes), nowMs);
      return { requestId, targetId: getTarget(result) };
    }).filter(({ targetId }) => targetId !== undefined);
  const counts = ["responded", "responded", "failed", "failed"] as const;
  const started = counts.map((end, index) => {
    const rechecks = submitLate(2_000 * (index + 1));
    for (const { requestId, targetId } of rechecks) {
      places.getLoad(targetId!)!.recordEnded(requestId);
      places.recordRecheckEnd(targetId!, requestId, { end, elapsedMs: 100 });
    }
    return rechecks.length;
  });
  assert.deepEqual(started, [1, 2, 4, 1]);
});
