import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { Duties } from "../members/duties.ts";
import type { LoadCounts } from "./load_counts.ts";
import { LoadExchange } from "./load_exchange.ts";
import { createInstances, createMembers } from "../members/member_fixtures.ts";
import type { Member, Members } from "../members/members.ts";
import type { PeerMessage } from "./peer_message.ts";

const STATUS = { configurationEnd: 1, hasLostStore: false, ends: [] };
/** Ids as long as those of real targets. */
const TARGETS = Array.from(
  { length: 300 },
  (_, index) => `i-${(index * 7_919_777).toString(16).padStart(10, "0")}`,
);
const MAX_DATAGRAM_BYTES = 1_400;

/** Simulates instances that exchange their counts; every datagram arrives. */
class FleetSimulation {
  readonly clock = new VirtualClock();
  readonly running = new Map<string, Record<string, number>>();
  /** By receiving instance, then by the source of the counts. */
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
        countLostPaths: () => 0,
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
        describeStatus: () => STATUS,
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

  /**
   * Counts the requests of all others at a target, according to an instance.
   */
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
    assert.ok(JSON.stringify(message).length <= MAX_DATAGRAM_BYTES);
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

test("each of 200 instances knows the counts of all others at a target", async () => {
  // When all sent to all, counts came every 3 s, too late, at 260 datagrams a
  // second per instance, and targets got more requests than they can queue.
  // With aggregation, 21 are sent a second, and counts are half a second old.
  const simulation = new FleetSimulation(200);
  for (const [index, name] of [...simulation.known.keys()].entries()) {
    const first = TARGETS[index]!;
    simulation.running.set(name, { [first]: 1, [TARGETS[0]!]: 2 });
  }
  await simulation.clock.advance(600);
  for (
    const name of ["bole-7", "arada-30", simulation.findLocalReader("yeka")]
  ) {
    assert.equal(simulation.countOthers(name, TARGETS[0]!), 2 * 199, name);
    assert.equal(simulation.countOthers(name, TARGETS[77]!), 1, name);
  }
  simulation.running.forEach((_, name) => simulation.running.set(name, {}));
  await simulation.clock.advance(600);
  assert.equal(simulation.countOthers("bole-7", TARGETS[0]!), 0);
  const before = simulation.datagrams;
  await simulation.clock.advance(5_000);
  const perSecond = (simulation.datagrams - before) / 5 / 200;
  assert.ok(perSecond < 30, `${perSecond} datagrams a second and instance`);
});

test("a lost aggregator is replaced within 2 s", async () => {
  const simulation = new FleetSimulation(60);
  await simulation.clock.advance(1_000);
  const lost = simulation.findLocalReader("kirkos");
  simulation.silent.add(lost);
  const target = TARGETS[5]!;
  const other = [...simulation.known.keys()]
    .find((name) => name.startsWith("kirkos") && name !== lost)!;
  await simulation.clock.advance(2_000);
  simulation.running.set(other, { [target]: 3 });
  await simulation.clock.advance(600);
  assert.equal(simulation.countOthers("yeka-9", target), 3);
});

test("a dozen instances send to each other directly", async () => {
  const simulation = new FleetSimulation(12);
  simulation.running.set("bole-0", { [TARGETS[3]!]: 4 });
  await simulation.clock.advance(100);
  assert.equal(simulation.countOthers("bole-1", TARGETS[3]!), 4);
  await simulation.clock.advance(300);
  assert.equal(simulation.countOthers("yeka-1", TARGETS[3]!), 4);
});
