import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeStore } from "@lentilspur/ports/fake_store";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { createMember } from "./member_fixtures.ts";
import type { Members } from "./members.ts";
import { startMembership } from "./membership_simulation.ts";

const INSTANCES = 40;
/** A slow store accepts an append long after it has answered a read. */
const APPEND_DELAY_MS = 300;
/** By then, each instance has sent its announcements. */
const DISCOVERY_MS = 4_000;

/** Starts instances at the same time; announcements reach known instances. */
function startInstances(clock: VirtualClock): readonly Members[] {
  const store = new FakeStore(clock);
  const signal = new AbortController().signal;
  const byName = new Map<string, Members>();
  for (let index = 0; index < INSTANCES; index++) {
    const member = createMember(`bole-${index}`);
    const client = store.createClient(member.instance);
    const { members } = startMembership({
      clock,
      store: {
        ...client,
        append: async (request) => {
          await clock.sleep(APPEND_DELAY_MS);
          return await client.append(request);
        },
      },
      member,
      readIntervalMs: 60_000,
      signal,
      reportFault: assert.fail,
      announce: (known, { offset, text }) => {
        for (const { instance } of known.listPeers()) {
          byName.get(instance)!
            .apply(member.instance, text, { offset, nowMs: clock.readMs() });
        }
      },
    });
    byName.set(member.instance, members);
  }
  return [...byName.values()];
}

test("instances that start at the same time on a slow store know each other", async () => {
  const clock = new VirtualClock();
  const all = startInstances(clock);
  await clock.advance(DISCOVERY_MS);
  assert.deepEqual(
    all.map(({ instanceCount }) => instanceCount),
    all.map(() => INSTANCES),
  );
});
