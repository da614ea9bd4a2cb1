import assert from "node:assert/strict";
import { test } from "node:test";
import {
  applyReassignments,
  createKeyTable,
  serializeTable,
} from "@lentilspur/ownership/key_table";
import { FakeStore } from "@lentilspur/ports/fake_store";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { KeyDirectory } from "./key_directory.ts";
import { createMember } from "../members/member_fixtures.ts";
import { PartitionView } from "./partition_view.ts";
import type { PeerMessage } from "../peers/peer_message.ts";
import { TableRequests } from "./table_requests.ts";

const PARTITION = { topic: "owners", part: 0 };
const TABLE_KEY = "table/files";
const DATAGRAM_MS = 2;

/**
 * Simulates a keeper, an instance that follows it, and the datagrams between
 * them.
 */
class TableSimulation {
  readonly clock = new VirtualClock();
  readonly store = new FakeStore(this.clock);
  readonly views = new Map<string, PartitionView>();
  readonly directories = new Map<string, KeyDirectory>();
  readonly requests = new Map<string, TableRequests>();
  isKeeperReachable = true;

  constructor() {
    ["keeper", "follower"].forEach((name) => this.#start(name));
  }

  #start(name: string): void {
    const directory = new KeyDirectory();
    const view = new PartitionView({
      clock: this.clock,
      store: this.store.createClient(name),
      partition: PARTITION,
      getPollingPolicy: () => ({
        pollDelayMs: 50,
        waitMs: 0,
        peerDataTtlMs: name === "keeper" ? 0 : 60_000,
        maxBackoffMs: 400,
      }),
      apply: ({ key, value, offset }) => {
        if (key === TABLE_KEY) {
          const nowMs = this.clock.readMs();
          directory.applyTable("files", value, { offset, nowMs });
        }
      },
      observe: () => undefined,
    });
    this.views.set(name, view);
    this.directories.set(name, directory);
    this.requests.set(
      name,
      new TableRequests({
        clock: this.clock,
        instance: name,
        directory,
        findMember: (other) => createMember(other),
        getOwnersView: () => view,
        getTableEnd: () => name === "keeper" ? view.end : undefined,
        listServices: () => ["files"],
        send: ([to], message) => this.#transfer(to!.instance, message),
      }),
    );
    void view.run(new AbortController().signal);
  }

  #transfer(to: string, message: PeerMessage): boolean {
    assert.ok(JSON.stringify(message).length <= 1_400);
    void this.clock.sleep(DATAGRAM_MS).then(() => {
      if (!this.isKeeperReachable) {
        return;
      }
      const requests = this.requests.get(to)!;
      if (message.kind === "table-request") {
        requests.answer(message);
      } else if (message.kind === "table") {
        requests.apply(message);
      }
    });
    return true;
  }
}

/**
 * Starts a follower that has missed a claim and a table that moves some keys.
 */
async function startBehind() {
  const owners = Array.from({ length: 100 }, (_, index) => ({
    id: `target-${index}`,
    address: `10.0.0.${index}:80`,
  }));
  const before = createKeyTable(owners, 1);
  const change = { from: 0, to: 99, owner: owners[7]! };
  const after = applyReassignments(before, [change], 3);
  const simulation = new TableSimulation();
  simulation.store.write(PARTITION, "keeper", "first");
  simulation.store.write(PARTITION, TABLE_KEY, serializeTable(before));
  await simulation.clock.advance(500);
  simulation.store.setFaultMode("follower", "refusing");
  simulation.store.write(PARTITION, "keeper", "second");
  simulation.store.write(PARTITION, TABLE_KEY, serializeTable(after));
  await simulation.clock.advance(500);
  return { simulation, after };
}

test("an instance that missed a table gets it from its keeper during an outage", async () => {
  const { simulation, after } = await startBehind();
  void simulation.requests.get("follower")!.fetch(0, "keeper", 4);
  await simulation.clock.advance(50);
  const directory = simulation.directories.get("follower")!;
  assert.deepEqual(directory.getTable("files"), after);
  const view = simulation.views.get("follower")!;
  assert.equal(view.end, 4);
  assert.equal(view.getRecord("keeper")?.value, "second");
});

test("the store is read if the keeper does not answer", async () => {
  const { simulation, after } = await startBehind();
  simulation.isKeeperReachable = false;
  simulation.store.setFaultMode("follower", "serving");
  void simulation.requests.get("follower")!.fetch(0, "keeper", 4);
  await simulation.clock.advance(1_000);
  const directory = simulation.directories.get("follower")!;
  assert.deepEqual(directory.getTable("files"), after);
});

test("a table that cannot be decoded is ignored", async () => {
  const { simulation } = await startBehind();
  const directory = simulation.directories.get("follower")!;
  const before = directory.getTable("files");
  simulation.requests.get("follower")!.apply({
    kind: "table",
    from: "keeper",
    part: 0,
    offset: 9,
    service: "files",
    text: "AAAA",
    piece: 0,
    pieces: 1,
  });
  assert.equal(directory.getTable("files"), before);
  assert.equal(simulation.views.get("follower")!.end, 2);
});
