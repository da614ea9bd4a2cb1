import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { Duties } from "../members/duties.ts";
import type { LoadCounts } from "./load_counts.ts";
import { LoadExchange } from "./load_exchange.ts";
import { createInstances, createMembers } from "../members/member_fixtures.ts";
import type { Member, Members } from "../members/members.ts";
import type { PeerMessage } from "./peer_message.ts";

const STANDING = { configurationEnd: 1, hasLostStore: false, ends: [] };
/** As long as a target's id is. */
const TARGETS = Array.from(
  { length: 300 },
  (_, index) => `i-${(index * 7_919_777).toString(16).padStart(10, "0")}`,
);
const MAX_DATAGRAM = 1_400;

/** Instances that tell each other what they have; every datagram arrives. */
class Fleet {
  readonly clock = new VirtualClock();
  readonly running = new Map<string, Record<string, number>>();
  /** By instance, then by whom it was told of, then by target. */
  readonly known = new Map<string, Map<string, LoadCounts>>();
  readonly silent = new Set<string>();
  readonly #duties = new Map<string, Duties>();
  datagrams = 0;

  constructor(count: number) {
    const instances = createInstances(count);
    const exchanges = new Map<string, LoadExchange>();
    for (const self of instances) {
      const members = createMembers(self, instances, 0);
      const duties = new Duties({
        clock: this.clock,
        self,
        members,
        hasLostStore: () => false,
      });
      this.#duties.set(self.instance, duties);
      this.known.set(self.instance, new Map());
      const exchange = new LoadExchange({
        clock: this.clock,
        instance: self.instance,
        dataCentre: self.dataCentre,
        members,
        duties,
        readCounts: () => ({
          running: this.running.get(self.instance) ?? {},
          waiting: {},
          instances: 1,
        }),
        applyCounts: (peer, counts) =>
          this.known.get(self.instance)!.set(peer, counts),
        describeStatus: () => STANDING,
        send: (to, message) =>
          this.#send(self.instance, to, message, exchanges),
      });
      exchanges.set(self.instance, exchange);
      void this.#runHeartbeats(members, instances);
    }
    for (const exchange of exchanges.values()) {
      void exchange.run(new AbortController().signal);
    }
  }

  findLocalReader(dataCentre: string): string {
    const [found] = [...this.#duties].find(([name, duties]) =>
      name.startsWith(dataCentre) && duties.isLocalReader()
    )!;
    return found;
  }

  /** Requests that all others have at a target, as an instance knows. */
  countOthers(instance: string, target: string): number {
    return [...this.known.get(instance)!.values()]
      .reduce((sum, { running }) => sum + (running[target] ?? 0), 0);
  }

  async #runHeartbeats(
    members: Members,
    instances: readonly Member[],
  ): Promise<void> {
    for (;;) {
      for (const { instance } of instances) {
        if (!this.silent.has(instance)) {
          members.recordContact(instance, this.clock.readMs());
        }
      }
      await this.clock.sleep(500);
    }
  }

  #send(
    from: string,
    to: readonly Member[],
    message: PeerMessage,
    exchanges: ReadonlyMap<string, LoadExchange>,
  ): void {
    assert.ok(JSON.stringify(message).length <= MAX_DATAGRAM);
    for (const { instance } of to.filter(() => !this.silent.has(from))) {
      this.datagrams++;
      const exchange = exchanges.get(instance)!;
      if (message.kind === "load") {
        exchange.applyLoad(message);
      } else if (message.kind === "gathered-load") {
        exchange.applyAggregate(message);
      }
    }
  }
}

test("each of 200 instances knows what all others have at a target", async () => {
  // Told by each to each, an instance heard of most others every 3 s, when their
  // requests were over, sent and read 260 datagrams a second, and gave targets
  // more than they can queue. Gathered in each data centre: 21 are sent a second
  // and instance, and what is known is half a second old.
  const fleet = new Fleet(200);
  for (const [index, name] of [...fleet.known.keys()].entries()) {
    const first = TARGETS[index]!;
    fleet.running.set(name, { [first]: 1, [TARGETS[0]!]: 2 });
  }
  await fleet.clock.advance(600);
  for (const name of ["bole-7", "arada-30", fleet.findLocalReader("yeka")]) {
    assert.equal(fleet.countOthers(name, TARGETS[0]!), 2 * 199, name);
    assert.equal(fleet.countOthers(name, TARGETS[77]!), 1, name);
  }
  fleet.running.forEach((_, name) => fleet.running.set(name, {}));
  await fleet.clock.advance(600);
  assert.equal(fleet.countOthers("bole-7", TARGETS[0]!), 0);
  const before = fleet.datagrams;
  await fleet.clock.advance(5_000);
  const perSecond = (fleet.datagrams - before) / 5 / 200;
  assert.ok(perSecond < 30, `${perSecond} a second and instance`);
});

test("a lost gatherer is replaced within two seconds", async () => {
  const fleet = new Fleet(60);
  await fleet.clock.advance(1_000);
  const lost = fleet.findLocalReader("kirkos");
  fleet.silent.add(lost);
  const target = TARGETS[5]!;
  const other = [...fleet.known.keys()]
    .find((name) => name.startsWith("kirkos") && name !== lost)!;
  await fleet.clock.advance(2_000);
  fleet.running.set(other, { [target]: 3 });
  await fleet.clock.advance(600);
  assert.equal(fleet.countOthers("yeka-9", target), 3);
});

test("a dozen instances tell each other directly", async () => {
  const fleet = new Fleet(12);
  fleet.running.set("bole-0", { [TARGETS[3]!]: 4 });
  await fleet.clock.advance(100);
  assert.equal(fleet.countOthers("bole-1", TARGETS[3]!), 4);
  await fleet.clock.advance(300);
  assert.equal(fleet.countOthers("yeka-1", TARGETS[3]!), 4);
});
