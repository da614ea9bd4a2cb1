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

/** One world of a store and targets, in which keepers come and go. */
class KeyKeeperSimulation {
  readonly clock = new VirtualClock();
  readonly store = new FakeStore(this.clock);
  readonly holders = new FakeKeyHolders(this.clock);
  readonly events: KeeperEvent[] = [];
  candidates: OwnerCandidate[] = ["a", "b"].map(createCandidate);
  readonly ended = new Set<string>();
  /** Targets are there from the start, except where they join. */
  distributeAfterMs = 0;
  /** Whether all witnesses let a keeper act without the store. */
  hasPledges = false;
  recordRestored: (end: number) => void = () => undefined;
  /** Instances that cannot reach the store. */
  readonly cut = new Set<string>();

  /** Claims as an instance does, and starts its keeper. */
  startKeeper(
    instance: string,
    options: {
      readonly predecessor?: "none" | "ended" | "resigned" | "unknown";
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
    const waitMs = kind === "unknown" ? DEFAULT_KEEPER_TIMING.authorityMs : 0;
    const lastOrderAtMs = this.clock.readMs() + waitMs;
    const predecessor = { kind, lastOrderAtMs };
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
      listWitnesses: () => [],
      listUnresolved: () => [],
      hasPledges: () => this.hasPledges,
      listServiceSnapshots: () => [{
        service: SERVICE,
        candidates: this.candidates,
        rates: [],
      }],
      hasEnded: (holder) => this.ended.has(holder.id),
      getConfirmedAtMs: () =>
        this.cut.has(instance) ? -Infinity : this.clock.readMs(),
      getTrustedSinceMs: options.getTrustedSinceMs ?? (() => -Infinity),
      observe: (event) => this.events.push(event),
      onRestored: (end) => this.recordRestored(end),
    };
    const keeper = new KeyKeeper(keeperOptions);
    void keeper.run();
    return keeper;
  }

  closeStoreTo(instance: string): void {
    this.cut.add(instance);
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

test("a first keeper divides the keys and grants them", async () => {
  const world = new KeyKeeperSimulation();
  world.startKeeper("one");
  await world.clock.advance(500);
  assert.deepEqual(world.readOwners(), Array(6).fill(["a", "b"]).flat());
  assert.equal(world.holders.findHolder(0), "a");
  assert.equal(world.holders.findHolder(65_535), "b");
});

test("a leaving target's keys move only after it has released them", async () => {
  // A user sees two answers of two case files that should be one. A target is
  // told to leave; its keys are granted to another while it still works on
  // one of them. The grant must wait for the answer to the release.
  const world = new KeyKeeperSimulation();
  world.startKeeper("one");
  await world.clock.advance(500);
  world.candidates = [createCandidate("b")];
  await world.clock.advance(1_000);
  assert.equal(world.holders.findHolder(0), "b");
  assert.deepEqual(world.holders.listOverlaps(), []);
  const release = world.holders.orders.find(({ kind }) => kind === "release")!;
  const grant = world.holders.orders.find((order) =>
    order.kind === "grant" && order.targetId === "b" && order.from === 0
  )!;
  assert.ok(release.token === grant.token, "released under the new token");
  assert.ok(grant.atMs >= release.atMs + 60, "granted after its work ended");
});

test("keys of a target that cannot be reached wait for its hold to end", async () => {
  // A target is cut off and goes on serving its keys, since it holds them for
  // 4 s more. Granted to another at once, they would have two owners.
  const world = new KeyKeeperSimulation();
  world.startKeeper("one");
  await world.clock.advance(500);
  world.holders.setFaultMode("a", "unreachable");
  world.candidates = [createCandidate("b")];
  await world.clock.advance(3_000);
  assert.notEqual(world.holders.findHolder(0), "b");
  await world.clock.advance(2_500);
  assert.equal(world.holders.findHolder(0), "b", "served again within 5 s");
  assert.deepEqual(world.holders.listOverlaps(), []);
});

test("orders that never left do not prolong a hold", async () => {
  // A target is lost in an outage of the store. Its keeper tries to renew its
  // keys on connections that never open, for seconds, and can move nothing. When
  // the store is back, its hold has long run out; counted from the last try,
  // its keys went unserved for 4 s more.
  const world = new KeyKeeperSimulation();
  world.startKeeper("one");
  await world.clock.advance(500);
  world.closeStoreTo("one");
  world.holders.setFaultMode("a", "unconnectable");
  await world.clock.advance(6_000);
  world.cut.delete("one");
  world.store.setFaultMode("one", "serving");
  world.candidates = [createCandidate("b")];
  await world.clock.advance(2_000);
  assert.equal(world.holders.findHolder(0), "b");
  assert.deepEqual(world.holders.listOverlaps(), []);
});

test("a target that has ended is not waited for", async () => {
  // Another process was seen at its address: nobody holds its keys.
  const world = new KeyKeeperSimulation();
  world.startKeeper("one");
  await world.clock.advance(500);
  world.holders.setFaultMode("a", "unreachable");
  world.ended.add("a");
  world.candidates = [createCandidate("b")];
  await world.clock.advance(1_000);
  assert.ok(
    world.holders.orders
      .some((order) => order.targetId === "b" && order.from === 0),
  );
});

test("a grant that was left unanswered is waited out after a release", async () => {
  // A renewal gets no answer. The target then answers a release, and 2 s after
  // it carries the renewal out all the same: it holds the keys again, while
  // they have been granted to another.
  const world = new KeyKeeperSimulation();
  world.startKeeper("one");
  await world.clock.advance(500);
  world.holders.setLateGrantDelayMs(2_500);
  world.holders.setFaultMode("a", "late");
  await world.clock.advance(1_500);
  world.holders.setFaultMode("a", "answering");
  world.candidates = [createCandidate("b")];
  await world.clock.advance(8_000);
  assert.equal(world.holders.findHolder(0), "b");
  assert.deepEqual(world.holders.listOverlaps(), []);
});

test("a release counts on when its range gets yet another owner", async () => {
  // A successor moves a hot key off a busy target, which answers the release.
  // The new owner never answers and is replaced in turn. Releasing the former
  // holder anew began the wait for late grants anew: the key had no owner for
  // 6.5 s, and 750 requests were refused.
  const world = new KeyKeeperSimulation();
  world.candidates = [createCandidate("a")];
  world.startKeeper("one");
  await world.clock.advance(500);
  world.startKeeper("two", { predecessor: "unknown" });
  world.holders.setFaultMode("c", "unconnectable");
  world.candidates = [createCandidate("c")];
  await world.clock.advance(3_000);
  world.candidates = [createCandidate("b")];
  await world.clock.advance(1_500);
  const released = world.holders.orders
    .filter(({ kind }) => kind === "release")
    .reduce((keys, { from, to }) => keys + to - from + 1, 0);
  assert.equal(released, 65_536, "each key is released once");
  assert.equal(world.holders.findHolder(0), "b");
  assert.deepEqual(world.holders.listOverlaps(), []);
});

test("a keeper that was replaced writes and orders nothing more", async () => {
  // Two instances believe that they keep the keys: the first one's append
  // fails, since the partition ends with the second one's claim.
  const world = new KeyKeeperSimulation();
  const first = world.startKeeper("one");
  await world.clock.advance(500);
  world.startKeeper("two", { predecessor: "unknown" });
  world.candidates = [createCandidate("b")];
  await world.clock.advance(1_000);
  assert.ok(first.hasStopped);
  const before = world.store.listRecords(PARTITION)
    .filter(({ key }) => key === formatTableKey(SERVICE)).length;
  await world.clock.advance(7_000);
  assert.ok(before >= 2);
  assert.deepEqual(world.holders.listOverlaps(), []);
  assert.equal(world.holders.findHolder(0), "b");
});

test("a successor that cannot reach a holder waits for its predecessor's authority to end", async () => {
  // The keeper is cut from the store but not from target a, and goes on
  // renewing. Its successor reaches the store but not target a. Were only the
  // hold waited out, a would still be renewed when its keys go to b.
  const world = new KeyKeeperSimulation();
  world.startKeeper("one");
  await world.clock.advance(500);
  world.closeStoreTo("one");
  world.startKeeper("two", {
    predecessor: "unknown",
    canReach: (id) => id !== "a",
  });
  await world.clock.advance(DEFAULT_KEEPER_TIMING.authorityMs - 100);
  assert.equal(world.holders.findHolder(0), "a", "the first goes on");
  await world.clock.advance(2 * DEFAULT_KEEPER_TIMING.holdMs);
  assert.equal(world.holders.findHolder(0), "b");
  assert.deepEqual(world.holders.listOverlaps(), []);
});

test("keys are served on while the store is away", async () => {
  // The store is down for 50 s, and every other instance has pledged to wait.
  // Without renewals every key would stop being served within 4 s.
  const world = new KeyKeeperSimulation();
  world.hasPledges = true;
  world.startKeeper("one");
  await world.clock.advance(500);
  world.closeStoreTo("one");
  await world.clock.advance(50_000);
  assert.equal(world.holders.findHolder(0), "a");
  assert.equal(world.holders.findHolder(65_535), "b");
  // Whoever was never asked for a pledge waits for this long and no longer.
  await world.clock.advance(DEFAULT_KEEPER_TIMING.maxAuthorityMs - 45_000);
  assert.equal(world.holders.findHolder(0), undefined);
});

test("a keeper stops renewing when its authority has ended", async () => {
  // Away from the store for longer, another may have been claimed meanwhile.
  const world = new KeyKeeperSimulation();
  world.startKeeper("one");
  await world.clock.advance(500);
  world.closeStoreTo("one");
  await world.clock.advance(DEFAULT_KEEPER_TIMING.authorityMs + 5_000);
  assert.equal(world.holders.findHolder(0), undefined);
});

test("a suspended keeper asks the store before its next order", async () => {
  // The machine was suspended; the steady clock stood still, so the keeper
  // would take its authority for fresh. What was confirmed before is void.
  const world = new KeyKeeperSimulation();
  let trustedSinceMs = -Infinity;
  world.startKeeper("one", { getTrustedSinceMs: () => trustedSinceMs });
  await world.clock.advance(500);
  trustedSinceMs = world.clock.readMs();
  world.closeStoreTo("one");
  const before = world.holders.orders.length;
  await world.clock.advance(3_000);
  assert.equal(world.holders.orders.length, before);
});

test("a keeper whose time of day has jumped confirms its authority at once", async () => {
  // The time of day steps by 2 s on the keeper's machine. That may have been a
  // suspension, so what was confirmed before is void; but the next read of its
  // tail ends up to 3 s later, and every key would go unheld meanwhile.
  const world = new KeyKeeperSimulation();
  let trustedSinceMs = -Infinity;
  world.startKeeper("one", { getTrustedSinceMs: () => trustedSinceMs });
  await world.clock.advance(3_000);
  world.cut.add("one");
  trustedSinceMs = world.clock.readMs();
  for (let elapsedMs = 0; elapsedMs < 5_000; elapsedMs += 100) {
    await world.clock.advance(100);
    assert.equal(world.holders.findHolder(0), "a");
  }
});

test("a table whose answer was lost is told to be read before the next", async () => {
  // The store takes a table and its answer is lost. The keeper finds it there,
  // and the next table is told by what differs from it; others, who never heard
  // of it, would put that onto the one before, and send keys to wrong owners.
  const world = new KeyKeeperSimulation();
  const told: number[] = [];
  world.recordRestored = (end) => told.push(end);
  world.startKeeper("one");
  await world.clock.advance(500);
  assert.deepEqual(told, []);
  world.store.setFaultMode("one", "losing-answers");
  world.candidates = [createCandidate("a"), createCandidate("c")];
  await world.clock.advance(1_500);
  const lostAt = world.store.listRecords(PARTITION).length;
  world.store.setFaultMode("one", "serving");
  await world.clock.advance(2_000);
  assert.ok(told.some((end) => end >= lostAt), `${told} of ${lostAt}`);
});

test("an append whose answer was lost is found in the store", async () => {
  // The table with the new owner is in the store, but its answer is not back.
  // Written anew it would conflict for ever; read back, the move goes on.
  const world = new KeyKeeperSimulation();
  world.startKeeper("one");
  await world.clock.advance(500);
  world.store.setFaultMode("one", "losing-answers");
  world.candidates = [createCandidate("b")];
  await world.clock.advance(2_000);
  world.store.setFaultMode("one", "serving");
  await world.clock.advance(2_000);
  assert.equal(world.holders.findHolder(0), "b");
  assert.deepEqual(world.holders.listOverlaps(), []);
});

test("a successor grants what stands to the same owners under tokens of its own", async () => {
  // All instances lose power at once. No key should change its owner or go
  // unheld when the first keeper is back. But a target may have started again
  // under its id meanwhile, and would get keys under the token of its life
  // before, if the successor went on with the tokens that it found.
  const world = new KeyKeeperSimulation();
  const first = world.startKeeper("one");
  await world.clock.advance(500);
  const owners = world.readOwners();
  first.stop("asked");
  world.holders.restart("b");
  const sent = world.holders.orders.length;
  const second = world.startKeeper("two", { predecessor: "ended" });
  for (let elapsedMs = 0; elapsedMs < 3_000; elapsedMs += 50) {
    await world.clock.advance(50);
    assert.equal(world.holders.findHolder(0), "a");
  }
  assert.equal(world.holders.findHolder(65_535), "b");
  assert.deepEqual(world.readOwners(), owners);
  const orders = world.holders.orders.slice(sent);
  assert.ok(orders.every(({ kind }) => kind === "grant"));
  assert.ok(orders.every(({ token }) => token > second.term));
  assert.deepEqual(world.holders.listOverlaps(), []);
  assert.deepEqual(world.holders.listStaleTokens(), []);
});

test("a target that starts again under its id gets its keys with a higher token", async () => {
  // A target is killed and is back between two renewals, long before its entry
  // shows it. The next renewal would give the new life the keys under the token
  // that the old one had, which the rules forbid: its earlier work may still
  // take effect under that token.
  const world = new KeyKeeperSimulation();
  world.startKeeper("one");
  await world.clock.advance(2_000);
  const owners = world.readOwners();
  world.holders.restart("a");
  assert.equal(world.holders.findHolder(0), undefined);
  await world.clock.advance(1_500);
  assert.equal(world.holders.findHolder(0), "a");
  assert.deepEqual(world.holders.listStaleTokens(), []);
  assert.deepEqual(world.readOwners(), owners);
});

test("a target that starts again at another address gets keys there", async () => {
  const world = new KeyKeeperSimulation();
  world.startKeeper("one");
  await world.clock.advance(2_000);
  world.holders.restart("a");
  world.candidates = [
    { ...createCandidate("a"), address: "a:81", bornMs: 2_000 },
    createCandidate("b"),
  ];
  await world.clock.advance(6_000);
  const records = world.store.listRecords(PARTITION);
  const table = parsePartitionState(records, records.length).tables.get(
    SERVICE,
  )!;
  assert.ok(
    table.ranges.every(({ owner, former }) =>
      owner.address !== "a:80" && former.length === 0
    ),
  );
  assert.deepEqual(world.holders.listStaleTokens(), []);
});

test("keys are dealt to all targets that start together", async () => {
  // Targets register over a second or two. Dealt to the first at once, all keys
  // would have one owner when the first callers come.
  const world = new KeyKeeperSimulation();
  world.distributeAfterMs = DEFAULT_KEEPER_TIMING.distributeAfterMs;
  const all = ["a", "b", "c", "d"].map(createCandidate);
  world.candidates = all.slice(0, 1);
  world.startKeeper("one");
  for (let count = 2; count <= all.length; count++) {
    await world.clock.advance(600);
    world.candidates = all.slice(0, count);
  }
  await world.clock.advance(600);
  assert.deepEqual(world.readOwners(), []);
  await world.clock.advance(1_500);
  const owners = world.readOwners();
  for (const { id } of all) {
    assert.equal(owners.filter((owner) => owner === id).length, 6);
  }
  assert.ok(world.holders.orders.every(({ kind }) => kind === "grant"));
});

test("a target that joins before anything is asked for gets its share", async () => {
  const world = new KeyKeeperSimulation();
  world.startKeeper("one");
  await world.clock.advance(1_000);
  world.candidates = ["a", "b", "c"].map(createCandidate);
  await world.clock.advance(2_000);
  const owners = world.readOwners();
  assert.equal(owners.filter((owner) => owner === "c").length, 6);
  assert.deepEqual(world.holders.listOverlaps(), []);
});
