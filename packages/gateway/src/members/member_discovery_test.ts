import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeStore } from "@lentilspur/ports/fake_store";
import type { Partition } from "@lentilspur/ports/store";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { PartitionView } from "../views/partition_view.ts";
import { createMember } from "./member_fixtures.ts";
import { MemberPublisher } from "./member_publisher.ts";
import { Members } from "./members.ts";

const PARTITION: Partition = { topic: "members", part: 0 };
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
    const members = new Members(member);
    byName.set(member.instance, members);
    const client = store.createClient(member.instance);
    const view: PartitionView = new PartitionView({
      clock,
      store: client,
      partition: PARTITION,
      getPollingPolicy: () => ({
        pollDelayMs: 500,
        waitMs: 0,
        peerDataTtlMs: 60_000,
        maxBackoffMs: 1_600,
      }),
      apply: ({ key, value, offset }) =>
        members.apply(key, value, { offset, nowMs: clock.readMs() }),
      onSnapshot: () => {
        members.markRead();
        const ownRecord = view.getRecord(member.instance)?.value;
        publisher.handleSnapshot({ end: view.end, ownRecord });
      },
      observe: () => undefined,
    });
    const publisher = new MemberPublisher({
      clock,
      store: {
        ...client,
        append: async (request) => {
          await clock.sleep(APPEND_DELAY_MS);
          return await client.append(request);
        },
      },
      partition: PARTITION,
      member,
      onWritten: () => view.scheduleRead(),
      announce: (offset, record) => {
        for (const { instance } of members.listPeers()) {
          byName.get(instance)!
            .apply(member.instance, record, { offset, nowMs: clock.readMs() });
        }
      },
      reportFault: assert.fail,
      signal,
    });
    void view.run(signal);
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
