import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestWorld } from "./request_world.ts";

const INSTANCES = ["bole-1", "bole-2", "kirkos-1", "kirkos-2", "yeka-1"];
const FATAL = "/files/fatal";
/** As long as instances may take to hear of a crash. */
const STABLE_MS = 3_000;
const ALLOWED_SENDS = 3;

function createWorld(keyed: boolean): RequestWorld {
  return new RequestWorld({
    instances: INSTANCES,
    targets: 12,
    keyed,
    target: { isFatal: ({ path }) => path === FATAL },
  });
}

/** Sends the fatal request again and again, each time through another instance. */
async function sendRepeatedly(
  world: RequestWorld,
  { everyMs, count }: { readonly everyMs: number; readonly count: number },
): Promise<void> {
  for (let nth = 0; nth < count; nth++) {
    void world.send(INSTANCES[(2 * nth) % INSTANCES.length]!, { path: FATAL });
    await world.clock.advance(everyMs);
  }
}

function countLateSends(world: RequestWorld): number {
  const third = world.crashes[2];
  assert.ok(third !== undefined, "fewer than three targets crashed");
  return world.countArrivals(FATAL, third.atMs + STABLE_MS);
}

for (const keyed of [true, false]) {
  const kind = keyed ? "the owner of its key" : "any target";
  test(`a request that crashes ${kind} is not sent on for ever`, {
    todo: "KNOWN-RED.txt",
  }, async () => {
    const world = createWorld(keyed);
    await sendRepeatedly(world, { everyMs: 3_300, count: 30 });
    const late = countLateSends(world);
    assert.ok(late <= ALLOWED_SENDS, `${late} sends`);
  });
}
