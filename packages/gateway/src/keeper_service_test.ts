import assert from "node:assert/strict";
import { test } from "node:test";
import { KeeperWorld } from "./keeper_world.ts";

test("a killed keeper is replaced before any key goes unheld", async () => {
  // The instance that keeps the keys is killed. Until another renews them the
  // holds run on; a successor that first waits for a hand-over, which a killed
  // keeper cannot make, comes too late, and every key goes unserved.
  const world = new KeeperWorld(["a", "b"]);
  world.start("one");
  await world.clock.advance(3_000);
  world.start("two");
  world.start("three");
  await world.clock.advance(5_000);
  const keeper = world.findKeeper()!;
  world.kill(keeper);
  for (let elapsedMs = 0; elapsedMs < 6_000; elapsedMs += 50) {
    await world.clock.advance(50);
    assert.ok(
      world.holders.findHolder(0) !== undefined,
      `unheld ${elapsedMs} ms after the kill`,
    );
  }
  assert.deepEqual(world.holders.listOverlaps(), []);
});

test("a keeper to whom the partition does not fall any more hands it over", async () => {
  // The store deals the partitions anew. Two keepers must not act at once, and
  // the new one need not wait for what the old one has sent.
  const world = new KeeperWorld(["a", "b"]);
  world.start("one");
  await world.clock.advance(3_000);
  assert.equal(world.findKeeper(), "one");
  void world.leave("one");
  await world.clock.advance(1_000);
  world.start("two");
  await world.clock.advance(3_000);
  const claims = world.events.filter(({ kind }) => kind === "claimed");
  const last = claims.at(-1);
  assert.ok(last?.kind === "claimed" && last.predecessor === "resigned");
});
