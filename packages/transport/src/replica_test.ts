import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeLog, type FakeLogOptions } from "@lentilspur/ports/fake_log";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { splitCheckpoint } from "@lentilspur/state/checkpoint";
import type { Entry } from "@lentilspur/state/entries";
import { Fold } from "@lentilspur/state/fold";
import type { ReplicaEvent } from "./folded_log.ts";
import { Replica } from "./replica.ts";

const STREAMS = { stream: "records", checkpointStream: "checkpoints" };
const OPERATOR = { author: "operator:abay" };

function makePublication(expectedVersion: number): Entry {
  return {
    kind: "configuration-published",
    expectedVersion,
    changes: [],
    operator: "abay",
  };
}

/** An instance's join, so that it counts as a member. */
function makeJoin(id: string): Entry {
  return {
    kind: "instance-joined",
    instance: {
      id,
      peerAddress: "127.0.0.1:1",
      httpAddress: "127.0.0.1:2",
      dataCentre: "bole",
    },
    guardians: [],
  };
}

/** A log and replicas of it, all on one virtual clock. */
class Trial {
  readonly clock = new VirtualClock();
  readonly log: FakeLog;
  readonly events: ReplicaEvent[] = [];
  readonly #ends: AbortController[] = [];

  constructor(options: FakeLogOptions = {}) {
    this.log = new FakeLog(this.clock, options);
  }

  start(instanceId?: string) {
    const link = this.log.createLink();
    const replica = new Replica({
      log: link,
      clock: this.clock,
      random: { draw: () => 0.5 },
      ...STREAMS,
      ...(instanceId === undefined
        ? {}
        : { checkpoints: { instanceId, everyRecords: 10 } }),
    });
    replica.watch((event) => this.events.push(event));
    const end = new AbortController();
    this.#ends.push(end);
    void replica.run(end.signal);
    return { replica, link, stop: () => end.abort() };
  }

  appendJoin(id: string): void {
    const envelope = { id: `join-${id}`, author: id, entries: [makeJoin(id)] };
    this.log.appendNow("records", JSON.stringify(envelope));
  }

  /** Appends publications that are accepted one after another. */
  async appendPublications(count: number): Promise<void> {
    for (let version = 0; version < count; version++) {
      const entries = [makePublication(version)];
      const envelope = { id: `p${version}`, ...OPERATOR, entries };
      this.log.appendNow("records", JSON.stringify(envelope));
      await this.clock.advance(20);
    }
  }

  listEvents(kind: ReplicaEvent["kind"]): readonly ReplicaEvent[] {
    return this.events.filter((event) => event.kind === kind);
  }

  async stop(): Promise<void> {
    this.#ends.forEach((end) => end.abort());
    await this.clock.advance(10_000);
  }
}

test("submissions of one turn share an append and get their own verdicts", async () => {
  const trial = new Trial();
  const { replica } = trial.start();
  const submitted = [0, 0, 1].map((version) =>
    replica.submit([makePublication(version)], OPERATOR)
  );
  await trial.clock.advance(100);
  const verdicts = (await Promise.all(submitted)).map((result) =>
    result.unwrap()[0]?.kind
  );
  assert.deepEqual(verdicts, ["accepted", "rejected", "accepted"]);
  assert.equal(trial.log.listRecords("records").length, 1);
  assert.equal(replica.view.configurationVersion, 2);
  assert.equal(replica.statistics.appends, 1);
  await trial.stop();
});

test("of two operators who publish at once one is told that it lost", async () => {
  const trial = new Trial();
  const replicas = [trial.start().replica, trial.start().replica];
  const submitted = replicas.map((replica, index) =>
    replica.submit([makePublication(0)], { author: `operator:${index}` })
  );
  await trial.clock.advance(100);
  const results = await Promise.all(submitted);
  assert.deepEqual(results.map((result) => result.unwrap()), [
    [{ kind: "accepted", position: 0 }],
    [{ kind: "rejected", reason: "stale-precondition" }],
  ]);
  await trial.stop();
});

for (const fault of ["lostAnswers", "lostAppends", "lateAppends"] as const) {
  test(`the verdict is found out in spite of ${fault}`, async () => {
    // An operator publishes a limit. The log gives no answer: it has taken the
    // record, or never will, or will after the writer has sent it again. The
    // operator must learn what holds, and it must take effect once.
    const trial = new Trial();
    const { replica, link } = trial.start();
    link.setFaults({ [fault]: 1, lateByMs: 2_060 });
    const submitted = replica.submit([makePublication(0)], OPERATOR);
    await trial.clock.advance(10_000);
    const result = await submitted;
    assert.equal(result.unwrap()[0]?.kind, "accepted");
    assert.equal(replica.view.configurationVersion, 1);
    await trial.stop();
  });
}

test("no verdict is guessed while the log is down", async () => {
  const trial = new Trial();
  const { replica } = trial.start();
  await trial.clock.advance(100);
  trial.log.setDown(true);
  const patience = new AbortController();
  const options = { ...OPERATOR, signal: patience.signal };
  const given = replica.submit([makePublication(0)], options);
  const kept = replica.submit([makePublication(0)], OPERATOR);
  await trial.clock.advance(3_600_000);
  patience.abort();
  const result = await given;
  assert.ok(!result.ok && result.val.kind === "unresolved");
  trial.log.setDown(false);
  await trial.clock.advance(5_000);
  assert.ok((await kept).ok, "it is resolved once the log is back");
  assert.ok(replica.isCaughtUp);
  await trial.stop();
});

test("a new instance starts after early records have expired", async () => {
  const trial = new Trial({ retainRecords: 15 });
  trial.start("e1");
  trial.appendJoin("e1");
  await trial.appendPublications(40);
  await trial.clock.advance(20_000);
  const later = trial.start().replica;
  await trial.clock.advance(5_000);
  assert.equal(later.view.configurationVersion, 40);
  assert.deepEqual(trial.listEvents("replicas-diverged"), []);
  await trial.stop();
});

test("accepted configuration survives an outage longer than retention", async () => {
  // The log is down for two hours and keeps records for one. Afterwards it has
  // nothing left: no record and no checkpoint. An instance that lived through
  // it must put its state back before a new one can start, and it must not
  // fall back to the beginning itself.
  const trial = new Trial({ retainMs: 3_600_000 });
  const { replica } = trial.start("e1");
  trial.appendJoin("e1");
  await trial.appendPublications(5);
  await trial.clock.advance(10_000);
  trial.log.setDown(true);
  await trial.clock.advance(2 * 3_600_000);
  trial.log.setDown(false);
  const later = trial.start().replica;
  await trial.clock.advance(20_000);
  assert.equal(replica.view.configurationVersion, 5);
  assert.equal(later.view.configurationVersion, 5);
  assert.ok(later.isCaughtUp);
  await trial.stop();
});

test("an instance paused beyond retention goes on from a checkpoint", async () => {
  const trial = new Trial({ retainRecords: 15 });
  trial.start("e1");
  trial.appendJoin("e1");
  const paused = trial.start();
  await trial.clock.advance(1_000);
  paused.link.setFaults({ isCut: true });
  await trial.clock.advance(5_000);
  await trial.appendPublications(40);
  await trial.clock.advance(20_000);
  paused.link.setFaults({ isCut: false });
  await trial.clock.advance(5_000);
  assert.equal(paused.replica.view.configurationVersion, 40);
  const [skipped] = trial.listEvents("history-skipped");
  assert.equal(skipped?.kind === "history-skipped" && skipped.fromOffset, 1);
  await trial.stop();
});

test("an older state written last does not turn a newer one back", async () => {
  // An instance that had fallen behind writes its old state; after it come
  // half of another checkpoint and one whose parts do not fit together. All
  // records have expired. The newest whole one must be chosen.
  const trial = new Trial();
  await trial.appendPublications(4);
  const writeState = (records: number, id: string): readonly string[] => {
    const fold = new Fold();
    trial.log.listRecords("records").slice(0, records)
      .forEach(({ offset, payload }) => fold.apply(offset, payload));
    const options = { id, nextOffset: records };
    return splitCheckpoint(fold.serialize(), options);
  };
  const [newest, older] = [writeState(3, "new"), writeState(1, "old")];
  const broken = writeState(4, "broken").map((part) =>
    JSON.stringify({ ...JSON.parse(part), data: "{}" })
  );
  const half = writeState(4, "half").map((part) =>
    JSON.stringify({ ...JSON.parse(part), parts: 2 })
  );
  for (const part of [...newest, ...older, ...broken, ...half]) {
    trial.log.appendNow("checkpoints", part);
  }
  trial.log.expireBefore("records", 3);
  const { replica } = trial.start();
  await trial.clock.advance(1_000);
  assert.equal(replica.view.configurationVersion, 4);
  trial.log.expireBefore("checkpoints", newest.length);
  const { replica: second } = trial.start();
  await trial.clock.advance(1_000);
  assert.ok(!second.isCaughtUp, "a gap is never folded over");
  assert.equal(trial.listEvents("history-missing").length > 0, true);
  await trial.stop();
});

test("a replica that holds another state is reported", async () => {
  const trial = new Trial();
  await trial.appendPublications(2);
  trial.start("e1");
  await trial.clock.advance(1_000);
  const other = new Fold();
  trial.log.listRecords("records").forEach(({ offset }) =>
    other.apply(offset, "not what the log holds")
  );
  const options = { id: "e2/1", nextOffset: 2 };
  splitCheckpoint(other.serialize(), options).forEach((part) =>
    trial.log.appendNow("checkpoints", part)
  );
  await trial.clock.advance(5_000);
  assert.equal(trial.listEvents("replicas-diverged").length, 1);
  await trial.stop();
});

test("a log that ends before what was read from it is not folded", async () => {
  const trial = new Trial();
  await trial.appendPublications(3);
  const { replica, link } = trial.start();
  await trial.clock.advance(1_000);
  const read = link.read.bind(link);
  link.read = async (...call) => {
    const batch = await read(...call);
    return batch.ok && call[0] === "records"
      ? batch.map(() => ({ records: [], nextOffset: 1 }))
      : batch;
  };
  await trial.clock.advance(5_000);
  assert.ok(trial.listEvents("log-regressed").length > 0);
  assert.equal(replica.view.configurationVersion, 3);
  await trial.stop();
});
