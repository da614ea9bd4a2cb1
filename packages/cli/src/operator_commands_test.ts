import assert from "node:assert/strict";
import { test } from "node:test";
import { EXIT_CODES } from "./exit_codes.ts";
import { hashCredential } from "./commands/credential.ts";
import {
  FakePlatform,
  makeDirectory,
  Terminal,
} from "./testing/fake_terminal.ts";

const LOG = "--log-url=http://127.0.0.1:1";

/** Two instances; `b` sends to one target, which owns one shard. */
async function createCluster(): Promise<Terminal> {
  const terminal = new Terminal(new FakePlatform());
  await terminal.publish(makeDirectory(), "--expect-version=0");
  terminal.platform.addMember("a");
  terminal.platform.addMember("b");
  const target = {
    id: "ledger-1",
    address: "127.0.0.1:9001",
    dataCentre: "Bole",
    template: "ledger",
    checksGrants: false,
  };
  terminal.platform.addEntry("b", {
    kind: "target-joined",
    target,
    steward: "b",
  });
  const units = Array.from({ length: 64 }, (_, shard) => ({
    unit: `s:${shard}`,
    to: "ledger-1",
  }));
  terminal.platform.addEntry("a", {
    kind: "units-assigned",
    template: "ledger",
    units,
  });
  terminal.takeOutput();
  return terminal;
}

test("shows who owns a key and who sends to the owner", async () => {
  const terminal = await createCluster();
  const code = await terminal.run("owner", "ledger", "case-9", LOG);
  assert.equal(code, EXIT_CODES.done);
  const output = terminal.takeOutput();
  assert.match(output, /^unit: s:\d+, token \d+$/m);
  assert.match(output, /^owner: ledger-1 at 127\.0\.0\.1:9001 \(Bole\)$/m);
  assert.match(output, /^steward: b, token \d+$/m);
});

test("lists stewards with what their targets own", async () => {
  const terminal = await createCluster();
  await terminal.run("stewards", LOG);
  assert.match(
    terminal.takeOutput(),
    /ledger-1 .*does not check\), in service, steward b .*, 64 units/,
  );
});

test("declares a target lost once an operator vouches for its end", async () => {
  // The machine of a target that does not check grants burnt. Nothing in the
  // system can prove that it runs nothing more, so its keys stay unserved
  // until an operator says so; after that they have no owner and can be given
  // to another target.
  const terminal = await createCluster();
  const words = ["declare-lost", "--target=ledger-1", "--operator=juma", LOG];
  assert.equal(await terminal.run(...words), EXIT_CODES.usage);
  assert.match(terminal.takeOutput(), /add --process-has-ended/);
  words.push("--process-has-ended");
  assert.equal(await terminal.run(...words), EXIT_CODES.done);
  await terminal.run("owner", "ledger", "case-9", LOG);
  assert.match(terminal.takeOutput(), /^owner: none now/m);
  assert.equal(await terminal.run(...words), EXIT_CODES.refused);
});

test("declares an instance lost and leaves its targets to the others", async () => {
  const terminal = await createCluster();
  const code = await terminal.run(
    "declare-lost",
    "--instance=b",
    "--operator=juma",
    "--process-has-ended",
    LOG,
  );
  assert.equal(code, EXIT_CODES.done);
  await terminal.run("stewards", LOG);
  assert.match(terminal.takeOutput(), /ledger-1 .*NO STEWARD/);
});

test("makes credentials that differ and whose digest fits", async () => {
  const terminal = new Terminal(new FakePlatform());
  await terminal.run("credential", "--json");
  await terminal.run("credential", "--json");
  const [first, second] = terminal.takeOutput().split("\n")
    .map((line): { readonly credential: string; readonly digest: string } =>
      JSON.parse(line)
    );
  assert.ok(first && second);
  assert.notEqual(first.credential, second.credential);
  assert.equal(hashCredential(first.credential), first.digest);
});

test("starts an instance from flags and variables and stops it", async () => {
  const terminal = new Terminal(new FakePlatform());
  terminal.environment["LENTILSPUR_DATA_CENTRE"] = "Bole";
  terminal.environment["LENTILSPUR_INSTANCE_LIST_URL"] = "http://127.0.0.1:2";
  const code = await terminal.run("serve", LOG, "--lease=3s");
  assert.equal(code, EXIT_CODES.done);
  const [settings] = terminal.started;
  assert.equal(settings?.dataCentre, "Bole");
  assert.equal(settings?.timing.leaseMs, 3_000);
  assert.equal(settings?.instanceId, "instance-0a1b2c3d");
  assert.equal(terminal.stopCount, 1);
});

test("can be stopped before it has joined", async () => {
  // The log is down when an instance starts, so it cannot join. Whoever
  // started it gives up and stops it; it must not wait for the log to return.
  const terminal = new Terminal(new FakePlatform());
  terminal.canJoin = new Promise(() => {});
  const list = "--instance-list-url=http://127.0.0.1:2";
  const code = await terminal.run("serve", LOG, list, "--data-centre=Bole");
  assert.equal(code, EXIT_CODES.done);
  assert.match(terminal.takeOutput(), /was stopped before it joined/);
});

test("ends with a code of its own when others took the instance over", async () => {
  // A virtual machine was suspended for a minute. Its targets have other
  // stewards by then, so the process must end and a new one must be started.
  const terminal = new Terminal(new FakePlatform());
  terminal.stopRequested = new Promise(() => {});
  terminal.ended = Promise.resolve("taken-over");
  const list = "--instance-list-url=http://127.0.0.1:2";
  const code = await terminal.run("serve", LOG, list, "--data-centre=Bole");
  assert.equal(code, EXIT_CODES.takenOver);
  assert.equal(terminal.stopCount, 0);
});

test("starts nothing while a setting is at fault", async () => {
  const terminal = new Terminal(new FakePlatform());
  const code = await terminal.run("serve", LOG, "--lease=3");
  assert.equal(code, EXIT_CODES.usage);
  assert.match(
    terminal.takeOutput(),
    /^--data-centre[^]*^--instance-list-url[^]*^--lease is "3"[^]*3 faults/m,
  );
  assert.deepEqual(terminal.started, []);
});
