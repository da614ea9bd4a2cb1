import assert from "node:assert/strict";
import { test } from "node:test";
import {
  applyReassignments,
  createTable,
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

/** A keeper and an instance that follows it, and the datagrams between them. */
class TableWorld {
  readonly clock = new VirtualClock();
  readonly store = new FakeStore(this.clock);
  readonly tails = new Map<string, PartitionView>();
  readonly directories = new Map<string, KeyDirectory>();
  readonly requests = new Map<string, TableRequests>();
  isKeeperHeard = true;

  constructor() {
    ["keeper", "follower"].forEach((name) => this.#start(name));
  }

  #start(name: string): void {
    const directory = new KeyDirectory();
    const tail = new PartitionView({
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
    this.tails.set(name, tail);
    this.directories.set(name, directory);
    this.requests.set(
      name,
      new TableRequests({
        clock: this.clock,
        instance: name,
        directory,
        findMember: (other) => createMember(other),
        getOwnersView: () => tail,
        getTableEnd: () => name === "keeper" ? tail.end : undefined,
        listServices: () => ["files"],
        send: ([to], message) => this.#transfer(to!.instance, message),
      }),
    );
    void tail.run(new AbortController().signal);
  }

  #transfer(to: string, message: PeerMessage): boolean {
    assert.ok(JSON.stringify(message).length <= 1_400);
    void this.clock.sleep(DATAGRAM_MS).then(() => {
      if (!this.isKeeperHeard) {
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

/** The follower has missed a claim and a table that moves some keys. */
async function startBehind() {
  const owners = Array.from({ length: 100 }, (_, index) => ({
    id: `target-${index}`,
    address: `10.0.0.${index}:80`,
  }));
  const before = createTable(owners, 1);
  const change = { from: 0, to: 99, owner: owners[7]! };
  const after = applyReassignments(before, [change], 3);
  const world = new TableWorld();
  world.store.write(PARTITION, "keeper", "first");
  world.store.write(PARTITION, TABLE_KEY, serializeTable(before));
  await world.clock.advance(500);
  world.store.setFaultMode("follower", "refusing");
  world.store.write(PARTITION, "keeper", "second");
  world.store.write(PARTITION, TABLE_KEY, serializeTable(after));
  await world.clock.advance(500);
  return { world, after };
}

test("whoever missed a table gets it from its keeper while the store is away", async () => {
  const { world, after } = await startBehind();
  void world.requests.get("follower")!.fetch(0, "keeper", 4);
  await world.clock.advance(50);
  const directory = world.directories.get("follower")!;
  assert.deepEqual(directory.getTable("files"), after);
  const tail = world.tails.get("follower")!;
  assert.equal(tail.end, 4);
  assert.equal(tail.getRecord("keeper")?.value, "second");
});

test("the store is read where the keeper does not answer", async () => {
  const { world, after } = await startBehind();
  world.isKeeperHeard = false;
  world.store.setFaultMode("follower", "serving");
  void world.requests.get("follower")!.fetch(0, "keeper", 4);
  await world.clock.advance(1_000);
  const directory = world.directories.get("follower")!;
  assert.deepEqual(directory.getTable("files"), after);
});

test("a table that cannot be read changes nothing", async () => {
  const { world } = await startBehind();
  const directory = world.directories.get("follower")!;
  const before = directory.getTable("files");
  world.requests.get("follower")!.apply({
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
  assert.equal(world.tails.get("follower")!.end, 2);
});
