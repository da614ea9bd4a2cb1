import assert from "node:assert/strict";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { choosePartition } from "@lentilspur/gateway/keeper/service_partition";
import { formatTableKey } from "@lentilspur/ownership/keeper_records";
import {
  createKeyTable,
  serializeTable,
} from "@lentilspur/ownership/key_table";
import { OWNERS_TOPIC } from "@lentilspur/platform/declared_adapter";
import { hashCredential } from "./commands/credential.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import {
  FakePlatform,
  FakeTerminal,
  makeDirectory,
} from "./testing/fake_terminal.ts";

const STORE = "--store=127.0.0.1:1";

test("shows who owns a key", async () => {
  const platform = new FakePlatform();
  const terminal = new FakeTerminal(platform);
  await terminal.publish(makeDirectory(), "--expect-version=0");
  terminal.takeOutput();
  const ownerArgs = ["owner", "ledger", "case-9", STORE];
  assert.equal(await terminal.run(...ownerArgs), EXIT_CODES.done);
  assert.match(terminal.takeOutput(), /^owner: none yet/m);

  const owner = { id: "ledger-1", address: "127.0.0.1:9001" };
  platform.store.write(
    { topic: OWNERS_TOPIC, part: choosePartition("ledger", 8) },
    formatTableKey("ledger"),
    serializeTable(createKeyTable([owner], 7)),
  );
  assert.equal(await terminal.run(...ownerArgs), EXIT_CODES.done);
  const output = terminal.takeOutput();
  assert.match(output, /^key: \d+, of the range 0 to 65535$/m);
  assert.match(output, /^owner: ledger-1 at 127\.0\.0\.1:9001, token 7$/m);
  assert.equal(
    await terminal.run("owner", "other", "case-9", STORE),
    EXIT_CODES.refused,
  );
});

test("creates distinct credentials with matching digests", async () => {
  const terminal = new FakeTerminal(new FakePlatform());
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

test("starts an instance from flags and environment variables and stops it", async () => {
  const terminal = new FakeTerminal(new FakePlatform());
  terminal.environment["LENTILSPUR_DATA_CENTRE"] = "Bole";
  terminal.environment["LENTILSPUR_INSTANCE_NAME"] = "bole-1";
  const code = await terminal.run("serve", STORE, "--drain=3s");
  assert.equal(code, EXIT_CODES.done);
  const [settings] = terminal.startedSettings;
  assert.equal(settings?.gateway.dataCentre, "Bole");
  assert.equal(settings?.gateway.instance, "bole-1");
  assert.equal(settings?.gateway.drainMs, 3_000);
  assert.equal(settings?.storeAddress, "127.0.0.1:1");
  assert.equal(terminal.stopCount, 1);
});

test("starts no instance if a setting is invalid", async () => {
  const terminal = new FakeTerminal(new FakePlatform());
  const code = await terminal.run("serve", STORE, "--drain=3");
  assert.equal(code, EXIT_CODES.usage);
  assert.match(
    terminal.takeOutput(),
    /^--instance-name[^]*^--data-centre[^]*^--drain is "3"[^]*3 faults/m,
  );
  assert.deepEqual(terminal.startedSettings, []);
});

test("explains a request and audits the log lines", async () => {
  // Given the collected lines of a request whose response was lost, `explain`
  // must find the request by its id, `audit` must find no broken promise, and
  // `losses` must count the request under its reason.
  const terminal = new FakeTerminal(new FakePlatform());
  const file = join(makeDirectory(), "lines.log");
  const common = {
    time: "2026-01-01T00:00:00.000Z",
    elapsedMs: 1,
    instance: "bole-1",
    incarnation: "a",
  };
  const send = {
    ...common,
    sequence: 1,
    event: "send",
    requestId: "r1",
    attempt: 1,
    service: "ledger",
    targetId: "t1",
    idempotent: false,
    outcome: "unknown",
    cause: "reset",
    waitedMs: 3,
    tookMs: 80,
  };
  const final = {
    ...common,
    sequence: 2,
    event: "final",
    requestId: "r1",
    outcome: "answer-lost",
    tookMs: 84,
  };
  writeFileSync(
    file,
    [send, final].map((line) => JSON.stringify(line)).join("\n"),
  );
  assert.equal(await terminal.run("explain", "r1", file), EXIT_CODES.done);
  const explanation = terminal.takeOutput();
  assert.match(
    explanation,
    /send 1 to t1, after 3 ms of waiting: unknown \(reset\)/,
  );
  assert.match(explanation, /It may have run/);
  assert.equal(await terminal.run("audit", file), EXIT_CODES.done);
  assert.match(terminal.takeOutput(), /no promise was broken/);
  assert.equal(await terminal.run("losses", file), EXIT_CODES.done);
  assert.match(terminal.takeOutput(), /00:00:00.000 .*0.0 %.*1 answer-lost/);
  assert.equal(
    await terminal.run("losses", "--window", "0", file),
    EXIT_CODES.usage,
  );
  assert.equal(await terminal.run("explain", "r2", file), EXIT_CODES.refused);
  assert.equal(await terminal.run("explain", "r1"), EXIT_CODES.usage);
});
