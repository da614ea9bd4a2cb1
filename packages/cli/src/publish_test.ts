import assert from "node:assert/strict";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { Err } from "@lentilspur/outcomes/result";
import { EXIT_CODES } from "./exit_codes.ts";
import {
  expireRecords,
  FakePlatform,
  makeDirectory,
  STREAM,
  Terminal,
  writeCheckpoint,
} from "./testing/fake_terminal.ts";

const LOG = "--log-url=http://127.0.0.1:1";

test("publishes, shows the history and finds no difference after", async () => {
  const terminal = new Terminal(new FakePlatform());
  const directory = makeDirectory();
  const code = await terminal.publish(directory, "--expect-version=0");
  assert.equal(code, EXIT_CODES.done);
  assert.match(terminal.takeOutput(), /Version 1 is accepted at offset 0/);
  await terminal.run("history", LOG);
  assert.match(
    terminal.takeOutput(),
    /version 1 by neema[^]*\+ template ledger/,
  );
  await terminal.run("diff", directory, LOG);
  assert.match(terminal.takeOutput(), /No difference from version 1/);
});

test("tells the slower of two operators who was first and with what", async () => {
  // Two operators start from version 1. Both publish; the second is refused,
  // nothing of the second's reaches the log, and the second reads the name of
  // the first, the version now in force and the documents that changed.
  const platform = new FakePlatform();
  const [first, second] = [new Terminal(platform), new Terminal(platform)];
  await first.publish(makeDirectory(64), "--expect-version=0");
  await first.publish(makeDirectory(128), "--expect-version=1");
  const code = await second.run(
    "publish",
    makeDirectory(32),
    LOG,
    "--operator=juma",
    "--expect-version=1",
  );
  assert.equal(code, EXIT_CODES.refused);
  assert.equal(platform.recordCount, 2);
  assert.match(
    second.takeOutput(),
    /written against version 1, but version 2 is in force[^]*version 2 by neema: template ledger/,
  );
});

test("loses cleanly when the other record reaches the log first", async () => {
  // Both read version 0 before either appends. The log puts the other's
  // record first; this one stands in the log too, but is rejected.
  const elsewhere = new Terminal(new FakePlatform());
  await elsewhere.publish(makeDirectory(32), "--expect-version=0");
  const [other] = elsewhere.platform.log.listRecords(STREAM);
  const platform = new FakePlatform();
  const terminal = new Terminal(platform);
  const append = terminal.link.append.bind(terminal.link);
  terminal.link.append = (stream, payload) => {
    platform.log.appendNow(STREAM, other?.payload ?? "");
    return append(stream, payload);
  };
  const code = await terminal.publish(makeDirectory(), "--expect-version=0");
  assert.equal(code, EXIT_CODES.refused);
  assert.equal(platform.recordCount, 2);
  assert.match(terminal.takeOutput(), /version 1 by neema/);
});

test("finds its record when only the answer to the append was lost", async () => {
  // The log takes the record and the connection breaks before the answer. An
  // operator who is told "failed" would publish again; told is the truth.
  const terminal = new Terminal(new FakePlatform());
  terminal.link.setFaults({ lostAnswers: 1 });
  const code = await terminal.publish(makeDirectory(), "--expect-version=0");
  assert.equal(code, EXIT_CODES.done);
  assert.equal(terminal.platform.recordCount, 1);
});

/** Longer than any command goes on. */
const LATE_MS = 60_000;

test("an append that takes effect after its repetition changes nothing", async () => {
  // The first append hangs in the platform, its repetition is accepted, and
  // the first arrives after all: one version, one line in the history.
  const terminal = new Terminal(new FakePlatform());
  terminal.link.setFaults({ lateAppends: 1, lateByMs: LATE_MS });
  await terminal.publish(makeDirectory(), "--expect-version=0");
  await terminal.platform.clock.advance(LATE_MS);
  assert.equal(terminal.platform.recordCount, 2);
  await terminal.run("history", LOG);
  const lines = terminal.takeOutput().match(/^version \d/gm);
  assert.deepEqual(lines, ["version 1"]);
});

/** Publishes into a log that goes silent, and returns the id to resume. */
async function publishIntoSilence(
  terminal: Terminal,
  directory: string,
): Promise<string> {
  terminal.link.setFaults({
    lateAppends: 1,
    lateByMs: LATE_MS,
    lostAppends: 1_000,
  });
  const code = await terminal.publish(directory, "--expect-version=0");
  assert.equal(code, EXIT_CODES.unknown);
  const output = terminal.takeOutput();
  assert.match(output, /^UNKNOWN whether it was accepted/m);
  terminal.link.setFaults({ lostAppends: 0 });
  return /--resume (\S+);/.exec(output)?.[1] ?? "";
}

test("says unknown during an outage, and resumes to one publication", async () => {
  // The log stops answering in the middle of a publication. Whether it took
  // the record cannot be known, so neither "accepted" nor "failed" is said.
  // After the outage the operator resumes; the record had arrived meanwhile.
  const terminal = new Terminal(new FakePlatform());
  const directory = makeDirectory();
  const id = await publishIntoSilence(terminal, directory);
  await terminal.platform.clock.advance(LATE_MS);
  const resume = ["--expect-version=0", `--resume=${id}`];
  assert.equal(await terminal.publish(directory, ...resume), EXIT_CODES.done);
  assert.match(terminal.takeOutput(), /Version 1 is accepted at offset 0/);
  assert.equal(terminal.platform.recordCount, 1);
});

test("resumes by appending anew where nothing had arrived", async () => {
  const terminal = new Terminal(new FakePlatform());
  const directory = makeDirectory();
  const id = await publishIntoSilence(terminal, directory);
  const resume = ["--expect-version=0", `--resume=${id}`];
  assert.equal(await terminal.publish(directory, ...resume), EXIT_CODES.done);
  await terminal.platform.clock.advance(LATE_MS);
  assert.equal(terminal.platform.recordCount, 2);
  await terminal.run("diff", directory, LOG);
  assert.match(terminal.takeOutput(), /No difference from version 1/);
});

test("refuses to resume with other content than the first attempt", async () => {
  // The files changed while the outcome was unknown. Sent under the same id,
  // either content could win; so nothing is sent.
  const terminal = new Terminal(new FakePlatform());
  const id = await publishIntoSilence(terminal, makeDirectory());
  const resume = ["--expect-version=0", `--resume=${id}`];
  const code = await terminal.publish(makeDirectory(7), ...resume);
  assert.equal(code, EXIT_CODES.refused);
  assert.equal(terminal.platform.recordCount, 0);
});

test("tells a lost publication as refused once another took its version", async () => {
  const terminal = new Terminal(new FakePlatform());
  const directory = makeDirectory();
  const id = await publishIntoSilence(terminal, directory);
  await terminal.publish(makeDirectory(9), "--expect-version=0");
  terminal.takeOutput();
  const resume = ["--expect-version=0", `--resume=${id}`];
  const code = await terminal.publish(directory, ...resume);
  assert.equal(code, EXIT_CODES.refused);
  assert.match(terminal.takeOutput(), /but version 1 is in force/);
});

test("says that nothing was published when the log cannot be reached", async () => {
  const terminal = new Terminal(new FakePlatform());
  const append = terminal.link.append;
  terminal.link.append = () =>
    Promise.resolve(Err({ kind: "refused", message: "no connection" }));
  const code = await terminal.publish(makeDirectory(), "--expect-version=0");
  assert.equal(code, EXIT_CODES.unavailable);
  terminal.link.append = append;
  terminal.platform.log.setDown(true);
  const again = await terminal.publish(makeDirectory(), "--expect-version=0");
  assert.equal(again, EXIT_CODES.unavailable);
  assert.equal(terminal.platform.recordCount, 0);
});

test("goes on from a checkpoint where the first records have expired", async () => {
  // The deployment is older than the log's retention. What is in force stands
  // only in a checkpoint; a command that folded what is left of the log would
  // take version 1 for nothing and publish everything anew.
  const terminal = new Terminal(new FakePlatform());
  await terminal.publish(makeDirectory(64), "--expect-version=0");
  expireRecords(terminal.platform);
  const directory = makeDirectory(128);
  const code = await terminal.publish(directory, "--expect-version=1");
  assert.equal(code, EXIT_CODES.done);
  terminal.takeOutput();
  await terminal.run("history", LOG);
  assert.match(
    terminal.takeOutput(),
    /^version 2 by neema[^]*maxQueuedPerTarget: 64 -> 128\nNot shown: 1 earlier/,
  );
});

test("says so where the records that could tell have expired", async () => {
  // The operator resumes after a holiday. The version has moved on, but the
  // records are gone: the lost publication may be the one that moved it.
  const terminal = new Terminal(new FakePlatform());
  const directory = makeDirectory();
  const id = await publishIntoSilence(terminal, directory);
  await terminal.publish(makeDirectory(9), "--expect-version=0");
  expireRecords(terminal.platform);
  terminal.takeOutput();
  const resume = ["--expect-version=0", `--resume=${id}`];
  const code = await terminal.publish(directory, ...resume);
  assert.equal(code, EXIT_CODES.unknown);
  assert.match(terminal.takeOutput(), /no longer holds the records/);
});

test("names who was first even where a checkpoint came in between", async () => {
  const platform = new FakePlatform();
  const [first, second] = [new Terminal(platform), new Terminal(platform)];
  await first.publish(makeDirectory(64), "--expect-version=0");
  await first.publish(makeDirectory(128), "--expect-version=1");
  writeCheckpoint(platform);
  await second.publish(makeDirectory(32), "--expect-version=1");
  assert.match(second.takeOutput(), /version 2 by neema: template ledger/);
});

test("removes documents only when asked to", async () => {
  // A file is missing from a checkout. Publishing it would lock a client
  // account out, so the removal is named and refused unless asked for.
  const terminal = new Terminal(new FakePlatform());
  await terminal.publish(makeDirectory(64, "nile"), "--expect-version=0");
  const renamed = makeDirectory(64, "awash");
  const refused = await terminal.publish(renamed, "--expect-version=1");
  assert.equal(refused, EXIT_CODES.refused);
  assert.match(terminal.takeOutput(), /lacks clientAccount nile/);
  const more = ["--expect-version=1", "--allow-removals"];
  assert.equal(await terminal.publish(renamed, ...more), EXIT_CODES.done);
});

test("names the instances that lag or do not answer", async () => {
  const platform = new FakePlatform();
  ["a:1", "b:1", "c:1"].forEach((id) => platform.addMember(id));
  const terminal = new Terminal(platform);
  terminal.versions.set("a:1", 1).set("b:1", 0);
  const code = await terminal.publish(makeDirectory(), "--expect-version=0");
  assert.equal(code, EXIT_CODES.lagging);
  const output = terminal.takeOutput();
  assert.match(output, /In force on 1 of 3 instances/);
  assert.match(output, /^b:1 .*version 0 BEHIND/m);
  assert.match(output, /^c:1 .*no answer, timed out/m);
  terminal.versions.set("b:1", 1).set("c:1", 1);
  const status = await terminal.run("status", LOG);
  assert.equal(status, EXIT_CODES.done);
  assert.match(terminal.takeOutput(), /in force on 3 of 3 instances/);
});

test("asks named instances while the log is down", async () => {
  const terminal = new Terminal(new FakePlatform());
  terminal.platform.log.setDown(true);
  terminal.versions.set("a:1", 4).set("b:1", 3);
  const asked = ["--instance=a:1", "--instance=b:1"];
  assert.equal(await terminal.run("status", ...asked), EXIT_CODES.lagging);
  assert.match(terminal.takeOutput(), /b:1.* version 3 BEHIND/);
  assert.equal(await terminal.run("status", LOG), EXIT_CODES.unavailable);
});

test("does not wait for a member that left meanwhile", async () => {
  // An instance is being replaced while somebody publishes: it was a member
  // when the version was accepted, and left before it could be asked.
  const platform = new FakePlatform();
  platform.addMember("a:1");
  platform.addMember("b:1");
  const terminal = new Terminal(platform);
  terminal.versions.set("a:1", 1);
  const leaving = platform.clock.sleep(2_000).then(() =>
    platform.addEntry("b:1", { kind: "instance-left", instance: "b:1" })
  );
  const code = await terminal.publish(makeDirectory(), "--expect-version=0");
  await leaving;
  assert.equal(code, EXIT_CODES.done);
  assert.match(terminal.takeOutput(), /In force on 1 of 1 instances/);
});

test("shows what is in force in a form that changes nothing", async () => {
  const terminal = new Terminal(new FakePlatform());
  await terminal.publish(makeDirectory(), "--expect-version=0");
  terminal.takeOutput();
  await terminal.run("show", LOG);
  const directory = makeDirectory();
  writeFileSync(join(directory, "ledger.yaml"), terminal.takeOutput());
  await terminal.run("diff", directory, LOG);
  assert.match(terminal.takeOutput(), /^No difference from version 1/);
});

test("tells wrong usage apart from a refusal", async () => {
  const terminal = new Terminal(new FakePlatform());
  const code = await terminal.publish(makeDirectory(), "--expect-version=one");
  assert.equal(code, EXIT_CODES.usage);
  assert.match(terminal.takeOutput(), /"one" is no version/);
  assert.equal(await terminal.run("publish", "--help"), EXIT_CODES.done);
});
