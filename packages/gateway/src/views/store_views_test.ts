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
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { Catalogue } from "./catalogue.ts";
import { Duties } from "../members/duties.ts";
import type { StoreLayout } from "../gateway_settings.ts";
import { KeyDirectory } from "./key_directory.ts";
import { createMember, createMembers } from "../members/member_fixtures.ts";
import {
  type Member,
  type Members,
  serializeMember,
} from "../members/members.ts";
import { StoreViews } from "./store_views.ts";

const PLACES: StoreLayout = {
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
/** Some hundred routes. */
const LARGE_CONFIGURATION_BYTES = 216_000;
/** A change must be in force this long after the store is back. */
const APPLY_MS = 2_000;

/** Whoever tells of a version is heard before it has come in pieces. */
const ON_ITS_WAY_MS = 60;
/** A call that nothing answers fails this long after the time that it may wait. */
const CALL_TIMEOUT_MS = 700;
/** An instance whose connections fell silent has to be right this long after. */
const GRACE_MS = 3_000;

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

/** What a weak instance among many strong ones reads; the others are played. */
class Reader {
  readonly clock = new VirtualClock();
  readonly store = new FakeStore(this.clock, 8);
  readonly reads: string[] = [];
  readonly views: StoreViews;
  readonly #catalogue: Catalogue;
  readonly #members: Members;
  readonly #others: readonly Member[];
  version = 1;
  #configurationEnd = 0;
  /** Whether reads that begin now are on a connection that has fallen silent. */
  isSilent = false;

  constructor({ others = 20, reportFault = assert.fail }: {
    readonly others?: number;
    readonly reportFault?: (message: string) => void;
  } = {}) {
    this.write();
    for (const dataCentre of DATA_CENTRES) {
      const target = createTarget(dataCentre);
      this.store.write(PLACES.targets, target.id, JSON.stringify(target));
    }
    const self = createMember("weak", { cores: 0.27 });
    this.#others = Array.from(
      { length: others },
      (_, index) => createMember(`strong-${index}`, { cores: 1.35 }),
    );
    this.#members = createMembers(self, this.#others, 0);
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
    });
    this.views = new StoreViews({
      clock: this.clock,
      store: {
        ...client,
        read: (request) => this.#read(client, request),
      },
      storeLayout: PLACES,
      catalogue: this.#catalogue,
      directory: new KeyDirectory(),
      members: this.#members,
      duties,
      onConfiguration: () => undefined,
      isKeeper: () => false,
      onTargetsRead: () => undefined,
      onConfigurationRead: () => undefined,
      fetchTable: (part) => this.views.getOwnersView(part)?.scheduleRead(),
      observe: () => undefined,
      reportFault,
    }, new AbortController().signal);
    for (const one of this.#others) {
      this.store.write(PLACES.members, one.instance, serializeMember(one));
    }
    this.views.start();
    this.views.startOwnersView(OWNERS_PART);
  }

  get inForce(): number {
    return this.#catalogue.table?.version ?? 0;
  }

  /** Operators publish the configuration in its present version. */
  write(padding = ""): void {
    const { version } = this;
    const table = { version, routes: [], services: {}, limits: {}, padding };
    this.store.write(PLACES.configuration, "newest", JSON.stringify(table));
    this.#configurationEnd++;
  }

  /** Another instance passes on the newest record. */
  forwardNewest(): void {
    const base = this.#configurationEnd - 1;
    const records = this.store.listRecords(PLACES.configuration)
      .filter(({ offset }) => offset === base);
    void this.clock.sleep(ON_ITS_WAY_MS).then(() =>
      this.views.configurationView.applyBatch({
        base,
        end: base + 1,
        ageMs: 0,
        sinceOutageMs: null,
        records,
      })
    );
  }

  /** Operators evacuate a data centre, or restore it. */
  writeEvacuation(dataCentre: string, isEvacuated: boolean): void {
    const value = isEvacuated ? "{}" : "";
    this.store.write(PLACES.configuration, `evacuate/${dataCentre}`, value);
    this.#configurationEnd++;
  }

  get evacuated(): readonly string[] {
    return this.#catalogue.listEvacuated();
  }

  /** The others say what they have every so often; some time passes. */
  async advance(
    ms: number,
    { ownersEnd, everyMs = 500 }: {
      readonly ownersEnd: number;
      readonly everyMs?: number;
    },
  ): Promise<void> {
    for (let spentMs = 0; spentMs < ms; spentMs += everyMs) {
      for (const { instance } of this.#others) {
        this.#members.recordStoreStatus(instance, false, this.clock.readMs());
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
    return Err({ kind: "unavailable", message: "No answer" });
  }
}

test("an instance that hears which version is in force does not read", async () => {
  // 200 instances that each hold a read open make 55 calls a second for nothing.
  const reader = new Reader();
  await reader.advance(2_000, { ownersEnd: 0 });
  assert.equal(reader.inForce, 1);
  reader.reads.length = 0;
  await reader.advance(10_000, { ownersEnd: 0 });
  assert.equal(reader.countReads("configuration"), 0);
  assert.equal(reader.countReads("members"), 0);
});

test("a version that others have in force is read once, at once", async () => {
  const reader = new Reader();
  await reader.advance(3_000, { ownersEnd: 0 });
  reader.reads.length = 0;
  reader.version = 2;
  reader.write();
  await reader.advance(500, { ownersEnd: 0 });
  assert.equal(reader.inForce, 2);
  await reader.advance(5_000, { ownersEnd: 0 });
  // The one that gives it, and none held open after it.
  assert.equal(reader.countReads("configuration"), 1);
});

test("a version that is passed on is not read", async () => {
  const reader = new Reader();
  await reader.advance(3_000, { ownersEnd: 0 });
  reader.reads.length = 0;
  reader.version = 2;
  reader.write();
  reader.forwardNewest();
  await reader.advance(1_000, { ownersEnd: 0 });
  assert.equal(reader.inForce, 2);
  assert.equal(reader.countReads("configuration"), 0);
});

test("an instance that hears nobody follows the configuration itself", async () => {
  // Its datagrams are lost, its path to the store is whole. A change must be in
  // force within 2 s all the same.
  const reader = new Reader();
  await reader.advance(3_000, { ownersEnd: 0 });
  await reader.clock.advance(400);
  reader.version = 2;
  reader.write();
  await reader.clock.advance(1_000);
  assert.equal(reader.inForce, 2);
});

test("an evacuation is in force, and taken back, as soon as others tell of it", async () => {
  const reader = new Reader();
  await reader.advance(3_000, { ownersEnd: 0 });
  reader.writeEvacuation("kirkos", true);
  reader.writeEvacuation("yeka", true);
  await reader.advance(500, { ownersEnd: 0 });
  assert.deepEqual(reader.evacuated, ["kirkos", "yeka"]);
  reader.writeEvacuation("kirkos", false);
  await reader.advance(500, { ownersEnd: 0 });
  assert.deepEqual(reader.evacuated, ["yeka"]);
  reader.writeEvacuation("kirkos", true);
  await reader.advance(500, { ownersEnd: 0 });
  assert.deepEqual(reader.evacuated, ["kirkos", "yeka"]);
});

test("an evacuation of a data centre without targets is a logged fault", async () => {
  const faults: string[] = [];
  const reader = new Reader({ reportFault: (fault) => faults.push(fault) });
  await reader.advance(3_000, { ownersEnd: 0 });
  reader.writeEvacuation("kirkos", true);
  reader.writeEvacuation("kikros", true);
  await reader.advance(1_000, { ownersEnd: 0 });
  assert.deepEqual(faults, ['No target stands in data centre "kikros"']);
  reader.writeEvacuation("kikros", false);
  await reader.advance(1_000, { ownersEnd: 0 });
  assert.deepEqual(reader.evacuated, ["kirkos"]);
});

test("an instance that was cut off finds the evacuations as they stand", async () => {
  const reader = new Reader();
  reader.writeEvacuation("kirkos", true);
  await reader.advance(3_000, { ownersEnd: 0 });
  assert.deepEqual(reader.evacuated, ["kirkos"]);
  reader.store.setFaultMode("weak", "refusing");
  reader.writeEvacuation("kirkos", false);
  reader.writeEvacuation("bole", true);
  await reader.advance(3_000, { ownersEnd: 0 });
  assert.deepEqual(
    reader.evacuated,
    ["kirkos"],
    "kept while the store is away",
  );
  reader.store.setFaultMode("weak", "serving");
  await reader.advance(APPLY_MS, { ownersEnd: 0, everyMs: 100 });
  assert.deepEqual(reader.evacuated, ["bole"]);
});

test("a request that misses its owner reads only what is old", async () => {
  // A target has lost its keys and refuses every request for them. Were each to
  // have the table read, 59 instances made 7,000 calls in 30 s for one that was
  // current; one that its keeper has not confirmed of late is read.
  const reader = new Reader();
  await reader.advance(2_000, { ownersEnd: 0 });
  reader.reads.length = 0;
  for (let step = 0; step < 10; step++) {
    reader.views.handleOwnerMiss(OWNERS_PART);
    await reader.advance(500, { ownersEnd: 0 });
  }
  assert.equal(reader.countReads("owners"), 0);
  await reader.clock.advance(1_000);
  reader.views.handleOwnerMiss(OWNERS_PART);
  await reader.clock.advance(500);
  assert.equal(reader.countReads("owners"), 1);
});

test("a table that did not arrive is read when its keeper says where it ends", async () => {
  const reader = new Reader();
  await reader.advance(2_000, { ownersEnd: 0 });
  const partition = { topic: "owners", part: OWNERS_PART };
  reader.store.write(partition, "keeper", "{}");
  reader.reads.length = 0;
  await reader.advance(500, { ownersEnd: 1 });
  assert.equal(reader.views.getOwnersView(OWNERS_PART)?.end, 1);
  assert.equal(reader.countReads("owners"), 1);
});

test("a long answer comes into force while others tell of its version", async () => {
  // Callers were sent by an old version, or told that there is no route, for
  // more than 7 s after a change. A partial outage had turned 23 of 76 instances
  // away while the configuration grew to 216 kB and changed; when it ended, each
  // of them took in all that its link carries (830 kB/s), and no version came into
  // force: 0.4 s after others' news a read was given up and begun anew, whatever
  // had come of it.
  const reader = await startCutOff({ missed: 3 });
  await reader.advance(APPLY_MS, { ownersEnd: 0, everyMs: 100 });
  assert.equal(reader.inForce, reader.version);
});

test("of many versions that were missed the newest is in force at once", async () => {
  // As above, and the configuration changes a dozen times meanwhile: to read
  // them all takes a link of 7 Mbit/s 3 s, and all but the last are of no use.
  const reader = await startCutOff({ missed: 12 });
  await reader.advance(APPLY_MS, { ownersEnd: 0, everyMs: 100 });
  assert.equal(reader.inForce, reader.version);
});

test("a change is in force though the read that was to bring it hangs", async () => {
  // All connections to the store fall silent at once, new ones work, and a change
  // is accepted right after. Those that follow the configuration had begun their
  // reads together, with the version before, so that nobody tells of the change;
  // callers were sent by the old version until the reads' time was over, 4.2 s.
  const reader = new Reader({ others: 0 });
  await reader.clock.advance(5_000);
  reader.reads.length = 0;
  reader.isSilent = true;
  while (reader.countReads("configuration") === 0) {
    await reader.clock.advance(1);
  }
  reader.isSilent = false;
  reader.version = 2;
  reader.write();
  await reader.clock.advance(GRACE_MS);
  assert.equal(reader.inForce, 2);
});

/** An instance on a slow link that the store has just begun to answer again. */
async function startCutOff({ missed }: { readonly missed: number }) {
  const reader = new Reader();
  await reader.advance(2_000, { ownersEnd: 0 });
  reader.store.setLinkRate("weak", SLOW_LINK_BYTES_PER_MS);
  reader.store.setFaultMode("weak", "refusing");
  for (let count = 0; count < missed; count++) {
    reader.version++;
    reader.write("x".repeat(LARGE_CONFIGURATION_BYTES));
    await reader.advance(500, { ownersEnd: 0, everyMs: 100 });
  }
  reader.store.setFaultMode("weak", "serving");
  return reader;
}
