import assert from "node:assert/strict";
import { test } from "node:test";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import { FakeStore } from "@lentilspur/ports/fake_store";
import type {
  ReadRequest,
  Store,
  StoreFailure,
  StoreReadResult,
} from "@lentilspur/ports/store";
import type {
  RoutingTable,
  RoutingTarget,
} from "@lentilspur/ports/routing_table";
import { encodeOffset } from "@lentilspur/ports/store_offset";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { Catalogue } from "./catalogue.ts";
import type { Fault } from "../fault.ts";
import { Duties } from "../members/duties.ts";
import type { StoreLayout } from "../gateway_settings.ts";
import { KeyDirectory } from "./key_directory.ts";
import { createMember, createMembers } from "../members/member_fixtures.ts";
import { type Member, Members, serializeMember } from "../members/members.ts";
import { StoreViews } from "./store_views.ts";

const STORE_LAYOUT: StoreLayout = {
  configuration: {
    topic: "configuration",
    part: 0,
    key: "newest",
    evacuationPrefix: "evacuate/",
  },
  targets: { topic: "targets", part: 0 },
  members: { topic: "members", part: 0 },
  owners: { topic: "owners", parts: 8 },
};
const DATA_CENTRES = ["bole", "kirkos", "yeka"];
const OWNERS_PART = 3;
/** A link of 7 Mbit/s. */
const SLOW_LINK_BYTES_PER_MS = 875;
/** A few hundred routes. */
const LARGE_CONFIGURATION_BYTES = 216_000;
/** A change must be in force within this time after the end of an outage. */
const MAX_APPLY_MS = 2_000;

/**
 * Delay of forwarded records: a peer's report of a version arrives before its
 * fragments do.
 */
const FORWARD_DELAY_MS = 60;
/** A call that gets no response fails this long after its `waitMs`. */
const CALL_TIMEOUT_MS = 700;
/**
 * An instance must have recovered within this time after its connections went
 * silent.
 */
const RECOVERY_MS = 3_000;

function createTarget(dataCentre: string): RoutingTarget {
  return {
    id: `target-${dataCentre}`,
    sequence: 1,
    service: "ledger",
    address: "10.0.0.1:80",
    dataCentre,
    places: 2,
    leaving: false,
    coldMs: 0,
  };
}

/**
 * Runs the views of a weak instance among many strong ones, which are
 * simulated.
 */
class StoreViewsSimulation {
  readonly clock = new VirtualClock();
  readonly store = new FakeStore(this.clock, 8);
  readonly reads: string[] = [];
  readonly views: StoreViews;
  readonly #catalogue: Catalogue;
  readonly #members: Members;
  readonly #peers: readonly Member[];
  version = 1;
  #configurationEnd = 0;
  /** Whether reads that start now use a connection that has gone silent. */
  isSilent = false;

  constructor({
    peers = 20,
    hasReadMembers = true,
    reportFault = (fault) => assert.fail(JSON.stringify(fault)),
  }: {
    readonly peers?: number;
    /** If not, the views begin while the store refuses this instance. */
    readonly hasReadMembers?: boolean;
    readonly reportFault?: (fault: Fault) => void;
  } = {}) {
    this.write();
    for (const dataCentre of DATA_CENTRES) {
      const target = createTarget(dataCentre);
      this.store.write(STORE_LAYOUT.targets, target.id, JSON.stringify(target));
    }
    const self = createMember("weak", { cores: 0.27 });
    this.#peers = Array.from(
      { length: peers },
      (_, index) => createMember(`strong-${index}`, { cores: 1.35 }),
    );
    this.#members = hasReadMembers
      ? createMembers(self, this.#peers, 0)
      : new Members(self);
    if (!hasReadMembers) {
      this.store.setFaultMode("weak", "refusing");
    }
    this.#catalogue = new Catalogue({
      decodeConfiguration: (text) => Ok(JSON.parse(text) as RoutingTable),
      decodeTarget: (_id, text) => Ok(JSON.parse(text) as RoutingTarget),
      observe: () => undefined,
    });
    const client = this.store.createClient("weak");
    const duties = new Duties({
      clock: this.clock,
      self,
      members: this.#members,
      hasLostStore: () => this.views.hasLostStore,
      countLostPaths: () => 0,
    });
    this.views = new StoreViews({
      clock: this.clock,
      store: {
        ...client,
        read: (request) => this.#read(client, request),
      },
      storeLayout: STORE_LAYOUT,
      catalogue: this.#catalogue,
      directory: new KeyDirectory(),
      members: this.#members,
      duties,
      onConfiguration: () => undefined,
      isKeeper: () => false,
      onMembersRead: () => undefined,
      onTargetsRead: () => undefined,
      onConfigurationRead: () => undefined,
      fetchTable: (part) => this.views.getOwnersView(part)?.scheduleRead(),
      observe: () => undefined,
      reportFault,
    }, new AbortController().signal);
    for (const one of this.#peers) {
      this.store.write(
        STORE_LAYOUT.members,
        one.instance,
        serializeMember(one),
      );
    }
    this.views.start();
    this.views.startOwnersView(OWNERS_PART);
  }

  get instanceCount(): number | null {
    return this.#members.instanceCount;
  }

  get inForce(): number {
    return this.#catalogue.routingTable?.version ?? 0;
  }

  /** Publishes the configuration in its current version, as operators do. */
  write(padding = ""): void {
    const { version } = this;
    const table = { version, routes: [], services: {}, limits: {}, padding };
    this.store.write(
      STORE_LAYOUT.configuration,
      "newest",
      JSON.stringify(table),
    );
    this.#configurationEnd++;
  }

  /** Simulates another instance that passes on the newest record. */
  forwardNewest(): void {
    const base = this.#configurationEnd - 1;
    const records = this.store.listRecords(STORE_LAYOUT.configuration)
      .filter(({ offset }) => offset === base);
    void this.clock.sleep(FORWARD_DELAY_MS).then(() =>
      this.views.configurationView.applyBatch({
        base,
        end: base + 1,
        ageMs: 0,
        sinceOutageMs: null,
        records,
      })
    );
  }

  /** Evacuates a data centre or restores it, as operators do. */
  writeEvacuation(dataCentre: string, isEvacuated: boolean): void {
    const value = isEvacuated ? "{}" : "";
    this.store.write(
      STORE_LAYOUT.configuration,
      `evacuate/${dataCentre}`,
      value,
    );
    this.#configurationEnd++;
  }

  /** Lets the store come back from an older copy, as peers soon report. */
  restoreStore(copyAgeMs: number): void {
    this.store.restore({ copyAgeMs });
    this.#configurationEnd = encodeOffset(
      this.store.era,
      this.store.listRecords(STORE_LAYOUT.configuration).length,
    );
  }

  get evacuated(): readonly string[] {
    return this.#catalogue.listEvacuated();
  }

  /**
   * Advances the clock while the other instances report their state every
   * `everyMs`.
   */
  async advance(
    ms: number,
    { ownersEnd, everyMs = 500 }: {
      readonly ownersEnd: number;
      readonly everyMs?: number;
    },
  ): Promise<void> {
    for (let spentMs = 0; spentMs < ms; spentMs += everyMs) {
      for (const { instance } of this.#peers) {
        this.#members.recordStatus(
          instance,
          { hasLostStore: false },
          this.clock.readMs(),
        );
      }
      this.views.applyConfigurationEnd(this.#configurationEnd, true);
      this.views.applyOwnersEnd(OWNERS_PART, ownersEnd, "strong-0");
      await this.clock.advance(everyMs);
    }
  }

  countReads(topic: string): number {
    return this.reads.filter((one) => one === topic).length;
  }

  async #read(
    client: Store,
    request: ReadRequest,
  ): Promise<Result<StoreReadResult, StoreFailure>> {
    this.reads.push(request.partition.topic);
    if (!this.isSilent) {
      return await client.read(request);
    }
    await this.clock.sleep(request.waitMs + CALL_TIMEOUT_MS);
    return Err({ kind: "unavailable", message: "no answer" });
  }
}

test("an instance that receives reports of the version in force does not read", async () => {
  // If each of 200 instances held a read open, they would make 55 calls a
  // second for nothing.
  const simulation = new StoreViewsSimulation();
  await simulation.advance(2_000, { ownersEnd: 0 });
  assert.equal(simulation.inForce, 1);
  simulation.reads.length = 0;
  await simulation.advance(10_000, { ownersEnd: 0 });
  assert.equal(simulation.countReads("configuration"), 0);
  assert.equal(simulation.countReads("members"), 0);
});

test("a version that peers have in force is read once, immediately", async () => {
  const simulation = new StoreViewsSimulation();
  await simulation.advance(3_000, { ownersEnd: 0 });
  simulation.reads.length = 0;
  simulation.version = 2;
  simulation.write();
  await simulation.advance(500, { ownersEnd: 0 });
  assert.equal(simulation.inForce, 2);
  await simulation.advance(5_000, { ownersEnd: 0 });
  // One read returns the new version, and none is held open after it.
  assert.equal(simulation.countReads("configuration"), 1);
});

test("a version that a peer passes on is not read", async () => {
  const simulation = new StoreViewsSimulation();
  await simulation.advance(3_000, { ownersEnd: 0 });
  simulation.reads.length = 0;
  simulation.version = 2;
  simulation.write();
  simulation.forwardNewest();
  await simulation.advance(1_000, { ownersEnd: 0 });
  assert.equal(simulation.inForce, 2);
  assert.equal(simulation.countReads("configuration"), 0);
});

test("an instance that receives no reports reads the configuration itself", async () => {
  // The instance receives no datagrams, but it can reach the store. A change
  // must still be in force within 2 s.
  const simulation = new StoreViewsSimulation();
  await simulation.advance(3_000, { ownersEnd: 0 });
  await simulation.clock.advance(400);
  simulation.version = 2;
  simulation.write();
  await simulation.clock.advance(1_000);
  assert.equal(simulation.inForce, 2);
});

test("an evacuation starts and ends as soon as peers report it", async () => {
  const simulation = new StoreViewsSimulation();
  await simulation.advance(3_000, { ownersEnd: 0 });
  simulation.writeEvacuation("kirkos", true);
  simulation.writeEvacuation("yeka", true);
  await simulation.advance(500, { ownersEnd: 0 });
  assert.deepEqual(simulation.evacuated, ["kirkos", "yeka"]);
  simulation.writeEvacuation("kirkos", false);
  await simulation.advance(500, { ownersEnd: 0 });
  assert.deepEqual(simulation.evacuated, ["yeka"]);
  simulation.writeEvacuation("kirkos", true);
  await simulation.advance(500, { ownersEnd: 0 });
  assert.deepEqual(simulation.evacuated, ["kirkos", "yeka"]);
});

test("an evacuation of a data centre without targets is reported as a fault", async () => {
  const faults: Fault[] = [];
  const simulation = new StoreViewsSimulation({
    reportFault: (fault) => faults.push(fault),
  });
  await simulation.advance(3_000, { ownersEnd: 0 });
  simulation.writeEvacuation("kirkos", true);
  simulation.writeEvacuation("kikros", true);
  await simulation.advance(1_000, { ownersEnd: 0 });
  assert.deepEqual(faults, [
    'No known target is in the evacuated data centre "kikros"; check its name',
  ]);
  simulation.writeEvacuation("kikros", false);
  await simulation.advance(1_000, { ownersEnd: 0 });
  assert.deepEqual(simulation.evacuated, ["kirkos"]);
});

test("an instance that was cut off reads the current evacuations", async () => {
  const simulation = new StoreViewsSimulation();
  simulation.writeEvacuation("kirkos", true);
  await simulation.advance(3_000, { ownersEnd: 0 });
  assert.deepEqual(simulation.evacuated, ["kirkos"]);
  simulation.store.setFaultMode("weak", "refusing");
  simulation.writeEvacuation("kirkos", false);
  simulation.writeEvacuation("bole", true);
  await simulation.advance(3_000, { ownersEnd: 0 });
  assert.deepEqual(
    simulation.evacuated,
    ["kirkos"],
    "evacuations stay in force during an outage of the store",
  );
  simulation.store.setFaultMode("weak", "serving");
  await simulation.advance(MAX_APPLY_MS, { ownersEnd: 0, everyMs: 100 });
  assert.deepEqual(simulation.evacuated, ["bole"]);
});

test("a request that misses its owner causes a read only of a stale table", async () => {
  // A target has lost its keys and refuses every request for them. When each
  // refusal caused a read, 59 instances made 7,000 calls in 30 s for a current
  // table. Only a table without a recent confirmation by its keeper is read.
  const simulation = new StoreViewsSimulation();
  await simulation.advance(2_000, { ownersEnd: 0 });
  simulation.reads.length = 0;
  for (let step = 0; step < 10; step++) {
    simulation.views.handleOwnerMiss(OWNERS_PART);
    await simulation.advance(500, { ownersEnd: 0 });
  }
  assert.equal(simulation.countReads("owners"), 0);
  await simulation.clock.advance(1_000);
  simulation.views.handleOwnerMiss(OWNERS_PART);
  await simulation.clock.advance(500);
  assert.equal(simulation.countReads("owners"), 1);
});

test("a table that did not arrive is read when its keeper reports the end", async () => {
  const simulation = new StoreViewsSimulation();
  await simulation.advance(2_000, { ownersEnd: 0 });
  const partition = { topic: "owners", part: OWNERS_PART };
  simulation.store.write(partition, "keeper", "{}");
  simulation.reads.length = 0;
  await simulation.advance(500, { ownersEnd: 1 });
  assert.equal(simulation.views.getOwnersView(OWNERS_PART)?.end, 1);
  assert.equal(simulation.countReads("owners"), 1);
});

test("a long response is read to its end while peers report its version", async () => {
  // An outage cut off 23 of 76 instances as the configuration grew to 216 kB.
  // Later, reads on their saturated links (830 kB/s) restarted 0.4 s after each
  // report, so that an old version or none was used for more than 7 s.
  const simulation = await startCutOff({ missed: 3 });
  await simulation.advance(MAX_APPLY_MS, { ownersEnd: 0, everyMs: 100 });
  assert.equal(simulation.inForce, simulation.version);
});

test("of many missed versions the newest is in force within 2 s", async () => {
  // The configuration changes a dozen times during the outage. Reading all
  // versions takes 3 s on a link of 7 Mbit/s, and only the newest is needed.
  const simulation = await startCutOff({ missed: 12 });
  await simulation.advance(MAX_APPLY_MS, { ownersEnd: 0, everyMs: 100 });
  assert.equal(simulation.inForce, simulation.version);
});

test("a change is in force in time although reads in flight hang", async () => {
  // All open connections to the store go silent just before a change. The
  // candidates had started their reads together, so no peer reported the
  // change, and the old version was used until the reads timed out after 4.2 s.
  const simulation = new StoreViewsSimulation({ peers: 0 });
  await simulation.clock.advance(5_000);
  simulation.reads.length = 0;
  simulation.isSilent = true;
  while (simulation.countReads("configuration") === 0) {
    await simulation.clock.advance(1);
  }
  simulation.isSilent = false;
  simulation.version = 2;
  simulation.write();
  await simulation.clock.advance(RECOVERY_MS);
  assert.equal(simulation.inForce, 2);
});

/**
 * Starts an instance on a slow link whose outage of the store has just ended.
 */
async function startCutOff({ missed }: { readonly missed: number }) {
  const simulation = new StoreViewsSimulation();
  await simulation.advance(2_000, { ownersEnd: 0 });
  simulation.store.setLinkRate("weak", SLOW_LINK_BYTES_PER_MS);
  simulation.store.setFaultMode("weak", "refusing");
  for (let count = 0; count < missed; count++) {
    simulation.version++;
    simulation.write("x".repeat(LARGE_CONFIGURATION_BYTES));
    await simulation.advance(500, { ownersEnd: 0, everyMs: 100 });
  }
  simulation.store.setFaultMode("weak", "serving");
  return simulation;
}

test("the number of instances is unknown until their records have been read", async () => {
  const simulation = new StoreViewsSimulation({
    peers: 11,
    hasReadMembers: false,
  });
  await simulation.clock.advance(5_000);
  assert.equal(simulation.instanceCount, null);
  simulation.store.setFaultMode("weak", "serving");
  await simulation.clock.advance(3_000);
  assert.equal(simulation.instanceCount, 12);
});

test("configuration and evacuations in force are kept while a restored store lacks them", async () => {
  const simulation = new StoreViewsSimulation();
  await simulation.advance(5_000, { ownersEnd: 0 });
  simulation.version = 2;
  simulation.write();
  simulation.writeEvacuation("kirkos", true);
  await simulation.advance(1_000, { ownersEnd: 0 });
  simulation.restoreStore(3_000);
  await simulation.advance(2_000, { ownersEnd: 0 });
  assert.equal(simulation.inForce, 2);
  assert.deepEqual(simulation.evacuated, ["kirkos"]);
  simulation.write();
  simulation.writeEvacuation("kirkos", true);
  await simulation.advance(3_000, { ownersEnd: 0 });
  assert.equal(simulation.inForce, 2);
  assert.deepEqual(simulation.evacuated, ["kirkos"]);
});
