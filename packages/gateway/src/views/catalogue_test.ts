import assert from "node:assert/strict";
import { test } from "node:test";
import { Err, Ok } from "@lentilspur/outcomes/result";
import type {
  RoutingTable,
  RoutingTarget,
} from "@lentilspur/ports/routing_table";
import { Catalogue, EXPIRED_ENTRY_GRACE_MS } from "./catalogue.ts";
import type { CatalogueEvent } from "./catalogue_event.ts";

function createCatalogue() {
  const events: CatalogueEvent[] = [];
  const catalogue = new Catalogue({
    decodeConfiguration: (text) =>
      text.startsWith("{")
        ? Ok(JSON.parse(text) as RoutingTable)
        : Err("no JSON"),
    decodeTarget: (_id, text) =>
      text.startsWith("{")
        ? Ok(JSON.parse(text) as RoutingTarget)
        : Err("no JSON"),
    observe: (event) => events.push(event),
  });
  return { catalogue, events };
}

function formatTable(version: number): string {
  return JSON.stringify({ version, routes: [], services: {}, limits: {} });
}

/**
 * Creates a catalogue whose configuration includes the service of the test
 * targets.
 */
function createConfiguredCatalogue() {
  const events: CatalogueEvent[] = [];
  const services = new Map([["ledger", {
    name: "ledger",
    keyed: true,
    maxConnections: 1,
  }]]);
  const limits = { maxBodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 };
  const access = { kind: "open" } as const;
  const table = { version: 1, routes: [], services, limits, access };
  const catalogue = new Catalogue({
    decodeConfiguration: () => Ok(table),
    decodeTarget: (_id, text) => Ok(JSON.parse(text) as RoutingTarget),
    observe: (event) => events.push(event),
  });
  catalogue.applyConfiguration("");
  return { catalogue, events };
}

function formatTarget(changes: Partial<RoutingTarget> = {}): string {
  const target: RoutingTarget = {
    id: "a",
    service: "ledger",
    address: "10.0.0.1:80",
    dataCentre: "bole",
    places: 2,
    leaving: false,
    coldMs: 0,
    sequence: 1,
    ...changes,
  };
  return JSON.stringify(target);
}

const NOW = { nowMs: 0, graceMs: 0 };

test("a configuration with a lower version is ignored", () => {
  // After the store has lost its history, an older record is read again. If it
  // took effect, requests would go to a service that must no longer get them.
  const { catalogue, events } = createCatalogue();
  assert.ok(catalogue.applyConfiguration(formatTable(7)));
  assert.ok(!catalogue.applyConfiguration(formatTable(5)));
  assert.ok(!catalogue.applyConfiguration("garbage"));
  assert.equal(catalogue.routingTable?.version, 7);
  assert.deepEqual(events.map(({ kind }) => kind), [
    "configuration",
    "configuration-ignored",
    "configuration-ignored",
  ]);
});

test("an entry that is written again without new state does not count as a change", () => {
  const { catalogue } = createCatalogue();
  catalogue.applyTarget("a", formatTarget(), NOW);
  assert.ok(catalogue.advance(0));
  catalogue.applyTarget("a", formatTarget({ coldMs: 100 }), NOW);
  assert.ok(!catalogue.advance(10));
});

test("a leaving target stays leaving if an entry of its incarnation says otherwise", () => {
  // After an outage, an older record may bring back an entry from before the
  // target reported that it is leaving.
  const { catalogue } = createCatalogue();
  catalogue.applyTarget("a", formatTarget({ leaving: true }), NOW);
  catalogue.applyTarget("a", formatTarget(), { nowMs: 500, graceMs: 0 });
  assert.ok(catalogue.getTarget("a")?.leaving);
  assert.equal(catalogue.getLeavingSinceMs("a"), 0);
});

test("entries that expired in an outage have a grace period to come back", () => {
  // The store returns after 8 s without any entries, since all have expired. If
  // the targets counted as gone, each would lose its keys and all requests
  // would be refused.
  const { catalogue } = createCatalogue();
  catalogue.applyTarget("a", formatTarget(), NOW);
  catalogue.applyTarget("b", formatTarget({ id: "b" }), NOW);
  const missing = { nowMs: 0, graceMs: EXPIRED_ENTRY_GRACE_MS };
  catalogue.applyTarget("a", "", missing);
  catalogue.applyTarget("b", "", missing);
  catalogue.applyTarget("a", formatTarget(), { nowMs: 1_800, graceMs: 0 });
  catalogue.advance(1_900);
  assert.equal(catalogue.targetCount, 2);
  catalogue.advance(EXPIRED_ENTRY_GRACE_MS);
  assert.ok(catalogue.getTarget("a") !== undefined);
  assert.ok(catalogue.getTarget("b") === undefined);
});

test("the entry of a former target at an address does not prove that the running target ended", () => {
  // A target crashed and another started at its address, but the old entry
  // remains. If it counted as newer, the running target would seem ended, and
  // its keys would be granted to a third target while it serves them.
  const { catalogue } = createConfiguredCatalogue();
  catalogue.applyTarget("old", formatTarget({ id: "old" }), NOW);
  catalogue.applyTarget("new", formatTarget({ id: "new" }), {
    nowMs: 1_000,
    graceMs: 0,
  });
  assert.ok(!catalogue.hasEnded({ id: "new" }));
  assert.ok(!catalogue.hasEnded({ id: "old" }));
  catalogue.recordReplaced({ id: "old" });
  assert.ok(!catalogue.hasEnded({ id: "new" }));
  assert.ok(catalogue.hasEnded({ id: "old" }));
});

test("two entries that were read together do not prove which one is older", () => {
  const { catalogue } = createConfiguredCatalogue();
  catalogue.applyTarget("a", formatTarget(), NOW);
  catalogue.applyTarget("b", formatTarget({ id: "b" }), NOW);
  assert.ok(!catalogue.hasEnded({ id: "a" }));
  assert.ok(!catalogue.hasEnded({ id: "b" }));
  assert.ok(!catalogue.hasEnded({ id: "never-seen" }));
});

test("a target that left while the store could not be read gets no new work", () => {
  // While an instance cannot read the store for 12 s, a target leaves and its
  // entry disappears. If the entry counted as expired, the target would get
  // requests for the whole grace period of 2.5 s.
  const { catalogue } = createCatalogue();
  for (const id of ["a", "b", "c"]) {
    catalogue.applyTarget(id, formatTarget({ id }), NOW);
  }
  const missing = { nowMs: 100, graceMs: EXPIRED_ENTRY_GRACE_MS };
  catalogue.applyTarget("a", "", missing);
  catalogue.advance(200);
  assert.equal(catalogue.getLeavingSinceMs("a"), 100);
  assert.deepEqual(
    catalogue.listForNewWork("ledger").filter(({ leaving }) => !leaving)
      .map(({ id }) => id),
    ["b", "c"],
  );
  // If most entries go missing at once, they have expired, and their targets
  // keep getting work.
  catalogue.applyTarget("b", "", missing);
  assert.ok(
    catalogue.listForNewWork("ledger").every(({ leaving }) => !leaving),
  );
});

test("an unreadable entry is ignored and reported", () => {
  const { catalogue, events } = createCatalogue();
  catalogue.applyTarget("a", "garbage", NOW);
  assert.equal(catalogue.targetCount, 0);
  assert.equal(events[0]?.kind, "target-ignored");
});

test("an unreadable entry of a known target leaves the target as it is and is not passed on", () => {
  const { catalogue } = createCatalogue();
  catalogue.applyTarget("a", formatTarget({}), NOW);
  const before = catalogue.getTarget("a");
  assert.ok(!catalogue.isChange("a", "garbage", 0));
  assert.ok(!catalogue.isReadable("a", "garbage"));
  assert.ok(catalogue.isReadable("a", ""));
  catalogue.applyTarget("a", "garbage", NOW);
  assert.deepEqual(catalogue.getTarget("a"), before);
});

test("a target that restarts under its id does not inherit the leaving state", () => {
  // A target reports that it is leaving, crashes and restarts under its id. If
  // the new incarnation counted as the old one, it would be leaving for good
  // and never get a request.
  const { catalogue } = createCatalogue();
  catalogue.applyTarget(
    "a",
    formatTarget({ bornMs: 1_000, sequence: 40, leaving: true }),
    NOW,
  );
  catalogue.applyTarget("a", formatTarget({ bornMs: 9_000, sequence: 1 }), {
    nowMs: 500,
    graceMs: 0,
  });
  assert.ok(!catalogue.getTarget("a")?.leaving);
  assert.equal(catalogue.getLeavingSinceMs("a"), null);
  assert.ok(
    catalogue.advance(600),
    "the restart counts as a change",
  );
});

test("a late entry of an earlier incarnation is ignored", () => {
  // After a target has restarted, a slow read or a relay brings an entry of its
  // previous incarnation, which was leaving. The entry must not affect the new
  // incarnation.
  const { catalogue, events } = createCatalogue();
  const laterIncarnation = { bornMs: 9_000, sequence: 2 };
  catalogue.applyTarget("a", formatTarget(laterIncarnation), NOW);
  const earlier = formatTarget({ bornMs: 1_000, sequence: 80, leaving: true });
  assert.ok(
    !catalogue.isChange("a", earlier, 0),
    "a stale entry is not passed on",
  );
  catalogue.applyTarget("a", earlier, NOW);
  // The stale entry is also ignored once the entry of the later incarnation is
  // gone.
  catalogue.applyTarget("a", "", NOW);
  catalogue.advance(10);
  catalogue.applyTarget("a", earlier, { nowMs: 20, graceMs: 0 });
  assert.equal(catalogue.targetCount, 0);
  assert.equal(
    events.filter(({ kind }) => kind === "target-ignored").length,
    2,
  );
});

test("of two entries of one incarnation the higher sequence number wins", () => {
  // Pages of the newest records are not a snapshot: a page may bring an entry
  // from before the target reported that it is leaving.
  const { catalogue } = createCatalogue();
  catalogue.applyTarget(
    "a",
    formatTarget({ bornMs: 5, sequence: 7, places: 4 }),
    NOW,
  );
  catalogue.applyTarget(
    "a",
    formatTarget({ bornMs: 5, sequence: 6, places: 2 }),
    NOW,
  );
  assert.equal(catalogue.getTarget("a")?.places, 4);
});

test("an entry without a start time is ignored once one had a start time", () => {
  const { catalogue } = createCatalogue();
  catalogue.applyTarget("a", formatTarget({ bornMs: 5, places: 4 }), NOW);
  catalogue.applyTarget("a", formatTarget({ sequence: 9, places: 1 }), NOW);
  assert.equal(catalogue.getTarget("a")?.places, 4);
});

test("an older entry at an address does not prove that a later incarnation ended", () => {
  // "a" crashed, "b" used its address for a while, and "a" restarted there. The
  // entry of "b" is newer than the first incarnation of "a" and older than the
  // second, which holds its keys.
  const { catalogue } = createConfiguredCatalogue();
  catalogue.applyTarget("a", formatTarget({ bornMs: 1 }), NOW);
  const later = (nowMs: number) => ({ nowMs, graceMs: 0 });
  catalogue.applyTarget("b", formatTarget({ id: "b" }), later(1_000));
  assert.ok(!catalogue.hasEnded({ id: "a", bornMs: 1 }));
  catalogue.recordReplaced({ id: "a", bornMs: 1 });
  assert.ok(catalogue.hasEnded({ id: "a", bornMs: 1 }));
  catalogue.applyTarget("a", formatTarget({ bornMs: 2_000 }), later(2_000));
  assert.ok(!catalogue.hasEnded({ id: "a", bornMs: 2_000 }));
  // Requests sent to the first incarnation may have reached the second.
  assert.ok(!catalogue.hasEnded({ id: "a", bornMs: 1 }));
});

test("an entry of an ended target that is read late does not end the live one at its address", () => {
  const { catalogue } = createConfiguredCatalogue();
  catalogue.applyTarget("new", formatTarget({ id: "new" }), NOW);
  const late = { nowMs: 1_000, graceMs: 0 };
  catalogue.applyTarget("old", formatTarget({ id: "old" }), late);
  assert.ok(!catalogue.hasEnded({ id: "new" }));
});

test("an entry of an unknown service does not prove that a target ended", () => {
  // An entry of another writer names the address of a running target. If it
  // counted, the target's keys would be granted to another target while it
  // serves them.
  const { catalogue } = createConfiguredCatalogue();
  catalogue.applyTarget("a", formatTarget(), NOW);
  catalogue.applyTarget("x", formatTarget({ id: "x", service: "odd" }), {
    nowMs: 1_000,
    graceMs: 0,
  });
  assert.ok(!catalogue.hasEnded({ id: "a" }));
});

test("an evacuated data centre gets no new work until it is restored", () => {
  const { catalogue, events } = createConfiguredCatalogue();
  catalogue.applyTarget("a", formatTarget(), NOW);
  catalogue.applyTarget(
    "b",
    formatTarget({ id: "b", dataCentre: "yeka" }),
    NOW,
  );
  catalogue.advance(0);
  catalogue.applyEvacuation("bole", true, 10);
  assert.ok(catalogue.advance(10));
  catalogue.applyTarget("c", formatTarget({ id: "c" }), NOW);
  const listLeaving = () =>
    catalogue.listForNewWork("ledger").map(({ leaving }) => leaving);
  assert.deepEqual(listLeaving(), [true, false, true]);
  assert.deepEqual(catalogue.listWithdrawals("c")[0], {
    reason: "evacuated",
    sinceMs: 10,
  });
  catalogue.applyEvacuation("bole", true, 20);
  catalogue.applyEvacuation("bole", false, 30);
  assert.ok(catalogue.advance(30));
  assert.deepEqual(listLeaving(), [false, false, false]);
  const states = events.flatMap((event) =>
    event.kind === "evacuation" ? [event.state] : []
  );
  assert.deepEqual(states, ["evacuated", "restored"]);
});

test("a target is cold for the reported time, which repeated reports do not extend", () => {
  const { catalogue } = createConfiguredCatalogue();
  catalogue.applyTarget("a", formatTarget({ coldMs: 3_000 }), NOW);
  assert.equal(catalogue.getTarget("a")?.coldUntilMs, 3_000);
  const late = formatTarget({ coldMs: 2_000, sequence: 2 });
  catalogue.applyTarget("a", late, { nowMs: 1_700, graceMs: 0 });
  assert.equal(catalogue.getTarget("a")?.coldUntilMs, 3_000);
  const again = formatTarget({ coldMs: 3_000, sequence: 3 });
  assert.ok(catalogue.isChange("a", again, 5_000));
  catalogue.applyTarget("a", again, { nowMs: 5_000, graceMs: 0 });
  assert.equal(catalogue.getTarget("a")?.coldUntilMs, 8_000);
});

test("targets of a restored data centre count as cold until they report", () => {
  const { catalogue } = createConfiguredCatalogue();
  catalogue.applyTarget("a", formatTarget(), NOW);
  catalogue.applyEvacuation("bole", true, 0);
  catalogue.applyEvacuation("bole", false, 1_000);
  assert.ok(catalogue.getTarget("a")!.coldUntilMs > 2_500);
});

test("a target whose response said that it leaves stays withdrawn when its entry goes and returns", () => {
  const { catalogue } = createConfiguredCatalogue();
  catalogue.applyTarget("a", formatTarget(), NOW);
  assert.ok(catalogue.recordReportedLeaving({ id: "a" }, 10));
  catalogue.applyTarget("a", "", { nowMs: 20, graceMs: 0 });
  catalogue.advance(30);
  assert.equal(catalogue.getTarget("a"), undefined);
  catalogue.applyTarget("a", formatTarget({ sequence: 9 }), {
    nowMs: 40,
    graceMs: 0,
  });
  assert.equal(catalogue.getTarget("a")?.leaving, true);
  assert.deepEqual(catalogue.listWithdrawals("a"), [
    { reason: "reported-leaving", sinceMs: 10 },
  ]);
});
