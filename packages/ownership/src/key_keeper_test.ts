import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeKeyHolders } from "@lentilspur/ports/fake_key_holders";
import { FakeStore } from "@lentilspur/ports/fake_store";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import {
  type KeeperEvent,
  KeyKeeper,
  type KeyKeeperOptions,
} from "./key_keeper.ts";
import { formatTableKey, KEEPER_KEY } from "./keeper_records.ts";
import { parsePartitionState } from "./partition_state.ts";
import { DEFAULT_KEEPER_TIMING } from "./keeper_timing.ts";
import type { OwnerCandidate } from "./owner_load.ts";

const PARTITION = { topic: "owners", part: 0 };
const SERVICE = "files";

/**
 * A store and targets that several keepers share, one after the other or at
 * once.
 */
class KeyKeeperSimulation {
  readonly clock = new VirtualClock();
  readonly store = new FakeStore(this.clock);
  readonly holders = new FakeKeyHolders(this.clock);
  readonly events: KeeperEvent[] = [];
  candidates: OwnerCandidate[] = ["a", "b"].map(createCandidate);
  readonly ended = new Set<string>();
  /** Zero, because the targets of most tests are registered from the start. */
  distributeAfterMs = 0;
  /** Whether all witnesses let a keeper act without the store. */
  hasPledges = false;
  recordRestored: (end: number) => void = () => undefined;
  /** Instances that cannot reach the store. */
  readonly cutOff = new Set<string>();

  /** Claims the partition as an instance does, and starts its keeper. */
  startKeeper(
    instance: string,
    options: {
      readonly predecessor?: "none" | "ended" | "resigned" | "unknown";
      /** Until the last order of an unknown predecessor. */
      readonly waitMs?: number;
      readonly canReach?: (targetId: string) => boolean;
      readonly getTrustedSinceMs?: () => number;
    } = {},
  ): KeyKeeper {
    const claim = { instance, incarnation: `${instance}-1` };
    const records = this.store.listRecords(PARTITION);
    const standing = parsePartitionState(records, records.length);
    const term = this.store
      .write(PARTITION, KEEPER_KEY, JSON.stringify(claim));
    const kind = options.predecessor ?? "none";
    const waitMs = kind === "unknown"
      ? options.waitMs ?? DEFAULT_KEEPER_TIMING.authorityMs
      : 0;
    const lastOrderAtMs = this.clock.readMs() + waitMs;
    const predecessor = {
      kind,
      lastOrderAtMs,
      unknownOwnersUntilMs: -Infinity,
    };
    const keeperOptions: KeyKeeperOptions = {
      clock: this.clock,
      store: this.store.createClient(instance),
      orders: this.holders.createClient(options.canReach),
      partition: PARTITION,
      timing: {
        ...DEFAULT_KEEPER_TIMING,
        distributeAfterMs: this.distributeAfterMs,
      },
      term,
      claim,
      tables: standing.tables,
      claimSentAtMs: this.clock.readMs(),
      getPredecessor: () => predecessor,
      listWitnessesToRecord: () => [],
      listUnresolved: () => [],
      getPledge: () => ({
        untilMs: this.hasPledges ? Infinity : -Infinity,
        lastStartMs: -Infinity,
      }),
      listServiceSnapshots: () => [{
        service: SERVICE,
        candidates: this.candidates,
        rates: [],
      }],
      hasEnded: (holder) => this.ended.has(holder.id),
      getConfirmedAtMs: () =>
        this.cutOff.has(instance) ? -Infinity : this.clock.readMs(),
      getTrustedSinceMs: options.getTrustedSinceMs ?? (() => -Infinity),
      observe: (event) => this.events.push(event),
      onRestored: (end) => this.recordRestored(end),
    };
    const keeper = new KeyKeeper(keeperOptions);
    void keeper.run();
    return keeper;
  }

  closeStoreTo(instance: string): void {
    this.cutOff.add(instance);
    this.store.setFaultMode(instance, "silent");
  }

  readOwners(): readonly string[] {
    const records = this.store.listRecords(PARTITION);
    const table = parsePartitionState(records, records.length).tables.get(
      SERVICE,
    );
    return table?.ranges.map((range) => range.owner.id) ?? [];
  }
}

function createCandidate(id: string): OwnerCandidate {
  return { id, address: `${id}:80`, places: 2, serviceMs: 50 };
}

test("the first keeper distributes the keys and grants them", async () => {
  const simulation = new KeyKeeperSimulation();
  simulation.startKeeper("one");
  await simulation.clock.advance(500);
  assert.deepEqual(simulation.readOwners(), Array(6).fill(["a", "b"]).flat());
  assert.equal(simulation.holders.findHolder(0), "a");
  assert.equal(simulation.holders.findHolder(65_535), "b");
});

test("a leaving target's keys move only after it has released them", async () => {
  // Guards against two owners of a key: a target is asked to leave, and its
  // keys are granted to another target while it still works on one of them. The
  // grant must wait for the response to the release.
  const simulation = new KeyKeeperSimulation();
  simulation.startKeeper("one");
  await simulation.clock.advance(500);
  simulation.candidates = [createCandidate("b")];
  await simulation.clock.advance(1_000);
  assert.equal(simulation.holders.findHolder(0), "b");
  assert.deepEqual(simulation.holders.listOverlaps(), []);
  const release = simulation.holders.orders.find(({ kind }) =>
    kind === "release"
  )!;
  const grant = simulation.holders.orders.find((order) =>
    order.kind === "grant" && order.targetId === "b" && order.from === 0
  )!;
  assert.ok(release.token === grant.token, "released under the new token");
  assert.ok(
    grant.atMs >= release.atMs + 60,
    "granted after the work of the former owner ended",
  );
});

test("keys of an unreachable target move only after its hold has expired", async () => {
  // Guards against two owners of a key: an unreachable target goes on serving
  // its keys, which it holds for up to 3.5 s more, while they are granted to
  // another target.
  const simulation = new KeyKeeperSimulation();
  simulation.startKeeper("one");
  await simulation.clock.advance(500);
  simulation.holders.setFaultMode("a", "unreachable");
  simulation.candidates = [createCandidate("b")];
  await simulation.clock.advance(3_000);
  assert.notEqual(simulation.holders.findHolder(0), "b");
  await simulation.clock.advance(2_500);
  assert.equal(
    simulation.holders.findHolder(0),
    "b",
    "served again within 5.5 s",
  );
  assert.deepEqual(simulation.holders.listOverlaps(), []);
});

test("orders that were never sent do not extend a hold", async () => {
  // In a store outage a target is lost, and renewals fail for seconds since no
  // connection opens. A hold that counted from the last attempt would leave its
  // keys unserved for up to 3.5 s after the store is back.
  const simulation = new KeyKeeperSimulation();
  simulation.startKeeper("one");
  await simulation.clock.advance(500);
  simulation.closeStoreTo("one");
  simulation.holders.setFaultMode("a", "unconnectable");
  await simulation.clock.advance(6_000);
  simulation.cutOff.delete("one");
  simulation.store.setFaultMode("one", "serving");
  simulation.candidates = [createCandidate("b")];
  await simulation.clock.advance(2_000);
  assert.equal(simulation.holders.findHolder(0), "b");
  assert.deepEqual(simulation.holders.listOverlaps(), []);
});

test("the hold of a target that has ended is not waited for", async () => {
  // Another process was seen at its address, so nobody holds its keys.
  const simulation = new KeyKeeperSimulation();
  simulation.startKeeper("one");
  await simulation.clock.advance(500);
  simulation.holders.setFaultMode("a", "unreachable");
  simulation.ended.add("a");
  simulation.candidates = [createCandidate("b")];
  await simulation.clock.advance(1_000);
  assert.ok(
    simulation.holders.orders
      .some((order) => order.targetId === "b" && order.from === 0),
  );
});

test("a released range waits until an unanswered grant can no longer take effect", async () => {
  // Guards against two owners of a key: a target leaves a renewal unanswered,
  // answers a release, and 2 s later carries out the renewal after all, while
  // its keys have been granted to another target.
  const simulation = new KeyKeeperSimulation();
  simulation.startKeeper("one");
  await simulation.clock.advance(500);
  simulation.holders.setLateGrantDelayMs(2_500);
  simulation.holders.setFaultMode("a", "late");
  await simulation.clock.advance(1_500);
  simulation.holders.setFaultMode("a", "answering");
  simulation.candidates = [createCandidate("b")];
  await simulation.clock.advance(8_000);
  assert.equal(simulation.holders.findHolder(0), "b");
  assert.deepEqual(simulation.holders.listOverlaps(), []);
});

test("a target that is gone is not sent the releases of all its ranges without pause", async () => {
  const simulation = new KeyKeeperSimulation();
  simulation.candidates = ["a", "b", "c"].map(createCandidate);
  const first = simulation.startKeeper("one");
  await simulation.clock.advance(5_000);
  first.stop("asked");
  simulation.startKeeper("two", { predecessor: "unknown", waitMs: 60_000 });
  simulation.holders.setFaultMode("c", "unconnectable");
  simulation.candidates = ["a", "b"].map(createCandidate);
  await simulation.clock.advance(5_000);
  const countReleases = () =>
    simulation.events.filter((event) =>
      event.kind === "order" && event.order === "release"
    ).length;
  const before = countReleases();
  await simulation.clock.advance(10_000);
  const sent = countReleases() - before;
  assert.ok(sent >= 3, "the target may be reached again");
  assert.ok(sent <= 10, `${sent} releases in 10 s`);
  simulation.holders.setFaultMode("c", "answering");
  await simulation.clock.advance(2_500);
  const released = simulation.holders.orders
    .filter(({ kind, targetId }) => kind === "release" && targetId === "c");
  assert.ok(released.length > 3, "all ranges are released once it answers");
});

test("a release stays valid when its range gets yet another owner", async () => {
  // A successor moves a hot key to an owner that never answers and is replaced.
  // A second release of the former holder restarted the wait for unanswered
  // grants: no owner for 6.5 s, and 750 rejected requests.
  const simulation = new KeyKeeperSimulation();
  simulation.candidates = [createCandidate("a")];
  simulation.startKeeper("one");
  await simulation.clock.advance(500);
  simulation.startKeeper("two", { predecessor: "unknown" });
  simulation.holders.setFaultMode("c", "unconnectable");
  simulation.candidates = [createCandidate("c")];
  await simulation.clock.advance(3_000);
  simulation.candidates = [createCandidate("b")];
  await simulation.clock.advance(1_500);
  const released = simulation.holders.orders
    .filter(({ kind }) => kind === "release")
    .reduce((keys, { from, to }) => keys + to - from + 1, 0);
  assert.equal(released, 65_536, "each key is released once");
  assert.equal(simulation.holders.findHolder(0), "b");
  assert.deepEqual(simulation.holders.listOverlaps(), []);
});

test("a replaced keeper stops, and no key gets two owners", async () => {
  // Guards against two instances that both act as the keeper: the first one's
  // append must fail, since the partition ends with the second one's claim.
  const simulation = new KeyKeeperSimulation();
  const first = simulation.startKeeper("one");
  await simulation.clock.advance(500);
  simulation.startKeeper("two", { predecessor: "unknown" });
  simulation.candidates = [createCandidate("b")];
  await simulation.clock.advance(1_000);
  assert.ok(first.hasStopped);
  const tableCount = simulation.store.listRecords(PARTITION)
    .filter(({ key }) => key === formatTableKey(SERVICE)).length;
  await simulation.clock.advance(7_000);
  assert.ok(tableCount >= 2);
  assert.deepEqual(simulation.holders.listOverlaps(), []);
  assert.equal(simulation.holders.findHolder(0), "b");
});

test("a successor that cannot reach a holder waits until its predecessor's authority has ended", async () => {
  // The keeper is cut off from the store and goes on renewing target a; its
  // successor reaches the store but not target a. If the successor waited only
  // for the hold, a would still be renewed when its keys go to b.
  const simulation = new KeyKeeperSimulation();
  simulation.startKeeper("one");
  await simulation.clock.advance(500);
  simulation.closeStoreTo("one");
  simulation.startKeeper("two", {
    predecessor: "unknown",
    canReach: (id) => id !== "a",
  });
  await simulation.clock.advance(DEFAULT_KEEPER_TIMING.authorityMs - 100);
  assert.equal(
    simulation.holders.findHolder(0),
    "a",
    "the first keeper goes on renewing",
  );
  await simulation.clock.advance(2 * DEFAULT_KEEPER_TIMING.holdMs);
  assert.equal(simulation.holders.findHolder(0), "b");
  assert.deepEqual(simulation.holders.listOverlaps(), []);
});

test("keys are served during a store outage", async () => {
  // The store is down for 50 s, and every other instance has pledged to wait.
  // Without renewals, every key would go unserved within a hold (3 s).
  const simulation = new KeyKeeperSimulation();
  simulation.hasPledges = true;
  simulation.startKeeper("one");
  await simulation.clock.advance(500);
  simulation.closeStoreTo("one");
  await simulation.clock.advance(50_000);
  assert.equal(simulation.holders.findHolder(0), "a");
  assert.equal(simulation.holders.findHolder(65_535), "b");
  // An instance that was never asked for a pledge takes over after this time.
  await simulation.clock.advance(DEFAULT_KEEPER_TIMING.maxAuthorityMs - 45_000);
  assert.equal(simulation.holders.findHolder(0), undefined);
});

test("a keeper stops renewing when its authority has ended", async () => {
  // During a longer time without the store, another instance may have claimed
  // the partition.
  const simulation = new KeyKeeperSimulation();
  simulation.startKeeper("one");
  await simulation.clock.advance(500);
  simulation.closeStoreTo("one");
  await simulation.clock.advance(DEFAULT_KEEPER_TIMING.authorityMs + 5_000);
  assert.equal(simulation.holders.findHolder(0), undefined);
});

test("after its machine was suspended, a keeper sends no order until the store confirms it", async () => {
  // The monotonic clock stands still while the machine is suspended, so the
  // keeper would consider its last confirmation recent. Earlier confirmations
  // must not count.
  const simulation = new KeyKeeperSimulation();
  let trustedSinceMs = -Infinity;
  simulation.startKeeper("one", { getTrustedSinceMs: () => trustedSinceMs });
  await simulation.clock.advance(500);
  trustedSinceMs = simulation.clock.readMs();
  simulation.closeStoreTo("one");
  const before = simulation.holders.orders.length;
  await simulation.clock.advance(3_000);
  assert.equal(simulation.holders.orders.length, before);
});

test("a keeper whose time of day jumped confirms its authority at once", async () => {
  // A step of 2 s in the time of day may mean a suspended machine, so earlier
  // confirmations no longer count. The next read of the partition's tail ends
  // up to 3 s later, and until then every key would go unserved.
  const simulation = new KeyKeeperSimulation();
  let trustedSinceMs = -Infinity;
  simulation.startKeeper("one", { getTrustedSinceMs: () => trustedSinceMs });
  await simulation.clock.advance(3_000);
  simulation.cutOff.add("one");
  trustedSinceMs = simulation.clock.readMs();
  for (let elapsedMs = 0; elapsedMs < 5_000; elapsedMs += 100) {
    await simulation.clock.advance(100);
    assert.equal(simulation.holders.findHolder(0), "a");
  }
});

test("a keeper reports the end of the partition after the response to a table was lost", async () => {
  // The store accepts a table, but its response is lost. The next table is sent
  // as a difference: instances that lack the lost one would apply it to an
  // older table and send keys to wrong owners.
  const simulation = new KeyKeeperSimulation();
  const restoredEnds: number[] = [];
  simulation.recordRestored = (end) => restoredEnds.push(end);
  simulation.startKeeper("one");
  await simulation.clock.advance(500);
  assert.deepEqual(restoredEnds, []);
  simulation.store.setFaultMode("one", "losing-answers");
  simulation.candidates = [createCandidate("a"), createCandidate("c")];
  await simulation.clock.advance(1_500);
  const lostEnd = simulation.store.listRecords(PARTITION).length;
  simulation.store.setFaultMode("one", "serving");
  await simulation.clock.advance(2_000);
  assert.ok(
    restoredEnds.some((end) => end >= lostEnd),
    `restored at ${restoredEnds}, lost response at ${lostEnd}`,
  );
});

test("an append whose response was lost is found in the store", async () => {
  // The store contains the table with the new owner, but its response is lost.
  // A repeated append would conflict forever; a read of the partition lets the
  // move continue.
  const simulation = new KeyKeeperSimulation();
  simulation.startKeeper("one");
  await simulation.clock.advance(500);
  simulation.store.setFaultMode("one", "losing-answers");
  simulation.candidates = [createCandidate("b")];
  await simulation.clock.advance(2_000);
  simulation.store.setFaultMode("one", "serving");
  await simulation.clock.advance(2_000);
  assert.equal(simulation.holders.findHolder(0), "b");
  assert.deepEqual(simulation.holders.listOverlaps(), []);
});

test("a successor grants ranges to their current owners under its own tokens", async () => {
  // All instances lose power at once: no key may change its owner or go
  // unserved. A target may have restarted under its id meanwhile, and must not
  // get keys under a token of its previous incarnation.
  const simulation = new KeyKeeperSimulation();
  const first = simulation.startKeeper("one");
  await simulation.clock.advance(500);
  const owners = simulation.readOwners();
  first.stop("asked");
  simulation.holders.restart("b");
  const sent = simulation.holders.orders.length;
  const second = simulation.startKeeper("two", { predecessor: "ended" });
  for (let elapsedMs = 0; elapsedMs < 3_000; elapsedMs += 50) {
    await simulation.clock.advance(50);
    assert.equal(simulation.holders.findHolder(0), "a");
  }
  assert.equal(simulation.holders.findHolder(65_535), "b");
  assert.deepEqual(simulation.readOwners(), owners);
  const orders = simulation.holders.orders.slice(sent);
  assert.ok(orders.every(({ kind }) => kind === "grant"));
  assert.ok(orders.every(({ token }) => token > second.term));
  assert.deepEqual(simulation.holders.listOverlaps(), []);
  assert.deepEqual(simulation.holders.listStaleTokens(), []);
});

test("a target that restarts under its id gets its keys with a higher token", async () => {
  // A target is killed and restarts between two renewals, long before its entry
  // shows this. The next renewal must not give the new incarnation the keys
  // under its old token, under which earlier work may still take effect.
  const simulation = new KeyKeeperSimulation();
  simulation.startKeeper("one");
  await simulation.clock.advance(2_000);
  const owners = simulation.readOwners();
  simulation.holders.restart("a");
  assert.equal(simulation.holders.findHolder(0), undefined);
  await simulation.clock.advance(1_500);
  assert.equal(simulation.holders.findHolder(0), "a");
  assert.deepEqual(simulation.holders.listStaleTokens(), []);
  assert.deepEqual(simulation.readOwners(), owners);
});

test("a target that restarts at another address gets keys there", async () => {
  const simulation = new KeyKeeperSimulation();
  simulation.startKeeper("one");
  await simulation.clock.advance(2_000);
  simulation.holders.restart("a");
  simulation.candidates = [
    { ...createCandidate("a"), address: "a:81", bornMs: 2_000 },
    createCandidate("b"),
  ];
  await simulation.clock.advance(6_000);
  const records = simulation.store.listRecords(PARTITION);
  const table = parsePartitionState(records, records.length).tables.get(
    SERVICE,
  )!;
  assert.ok(
    table.ranges.every(({ owner, former }) =>
      owner.address !== "a:80" && former.length === 0
    ),
  );
  assert.deepEqual(simulation.holders.listStaleTokens(), []);
});

test("keys are distributed to all targets that start together", async () => {
  // Targets register over a second or two. If the first one got all keys at
  // once, it would be their only owner when the first callers arrive.
  const simulation = new KeyKeeperSimulation();
  simulation.distributeAfterMs = DEFAULT_KEEPER_TIMING.distributeAfterMs;
  const all = ["a", "b", "c", "d"].map(createCandidate);
  simulation.candidates = all.slice(0, 1);
  simulation.startKeeper("one");
  for (let count = 2; count <= all.length; count++) {
    await simulation.clock.advance(600);
    simulation.candidates = all.slice(0, count);
  }
  await simulation.clock.advance(600);
  assert.deepEqual(simulation.readOwners(), []);
  await simulation.clock.advance(1_500);
  const owners = simulation.readOwners();
  for (const { id } of all) {
    assert.equal(owners.filter((owner) => owner === id).length, 6);
  }
  assert.ok(simulation.holders.orders.every(({ kind }) => kind === "grant"));
});

test("a target that joins before any key is requested gets its share", async () => {
  const simulation = new KeyKeeperSimulation();
  simulation.startKeeper("one");
  await simulation.clock.advance(1_000);
  simulation.candidates = ["a", "b", "c"].map(createCandidate);
  await simulation.clock.advance(2_000);
  const owners = simulation.readOwners();
  assert.equal(owners.filter((owner) => owner === "c").length, 6);
  assert.deepEqual(simulation.holders.listOverlaps(), []);
});

test("keys whose token a lost keeper has exceeded are granted again under a new one", async () => {
  const simulation = new KeyKeeperSimulation();
  simulation.startKeeper("one");
  await simulation.clock.advance(500);
  const lostKeeper = simulation.holders.createClient();
  const target = { id: "a", address: "a:80" };
  const order = { from: 0, to: 100, token: 1_000, holdMs: 100 };
  void lostKeeper.grant(target, order, lostKeeper.getSession(target));
  simulation.store.restore({ copyAgeMs: 0 });
  await simulation.clock.advance(5_000);
  assert.equal(simulation.holders.findHolder(5), "a");
});
