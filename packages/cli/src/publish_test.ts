import assert from "node:assert/strict";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { Err } from "@lentilspur/outcomes/result";
import type { AppendRequest, Store } from "@lentilspur/ports/store";
import { EXIT_CODES } from "./exit_codes.ts";
import {
  FakePlatform,
  FakeTerminal,
  makeDirectory,
} from "./testing/fake_terminal.ts";

const STORE = "--store=127.0.0.1:1";

/**
 * Longer than any command runs. The virtual clock advances while a command
 * reads its files in real time, which takes many clock steps on a busy machine.
 */
const DELIVERY_DELAY_MS = 600_000;

/**
 * Creates a store client that never receives a response to an append: the first
 * append reaches the store after `DELIVERY_DELAY_MS`, every further one is
 * lost.
 */
function createUnresponsiveStore(
  storeClient: Store,
  platform: FakePlatform,
): Store {
  let attempts = 0;
  return {
    ...storeClient,
    append: async (request: AppendRequest) => {
      attempts++;
      if (attempts === 1) {
        void platform.clock.sleep(DELIVERY_DELAY_MS).then(() =>
          storeClient.append(request)
        );
      }
      await platform.clock.sleep(1_000);
      return Err({ kind: "unavailable", message: "No answer" });
    },
  };
}

test("after a publication, the history shows it and diff finds no difference", async () => {
  const terminal = new FakeTerminal(new FakePlatform());
  const directory = makeDirectory();
  const code = await terminal.publish(directory, "--expect-version=0");
  assert.equal(code, EXIT_CODES.done);
  assert.match(terminal.takeOutput(), /Version 1 is accepted/);
  await terminal.run("history", STORE);
  assert.match(
    terminal.takeOutput(),
    /version 1 by neema[^]*\+ template ledger/,
  );
  await terminal.run("diff", directory, STORE);
  assert.match(terminal.takeOutput(), /No difference from version 1/);
});

test("a refused operator sees who published first and what changed", async () => {
  // Two operators publish against version 1. The second publication must be
  // refused without writing to the store, and the message must name the other
  // operator, the version now in force and the changed documents.
  const platform = new FakePlatform();
  const [first, second] = [
    new FakeTerminal(platform),
    new FakeTerminal(platform),
  ];
  await first.publish(makeDirectory(64), "--expect-version=0");
  await first.publish(makeDirectory(128), "--expect-version=1");
  const code = await second.run(
    "publish",
    makeDirectory(32),
    STORE,
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

test("refuses a publication whose append is preceded by another one", async () => {
  // Both publishers read version 0 before either appends. The other append
  // comes first, so this one fails because the partition has a new end offset.
  const platform = new FakePlatform();
  const [other, terminal] = [
    new FakeTerminal(platform),
    new FakeTerminal(platform),
  ];
  const { storeClient } = terminal;
  terminal.storeClient = {
    ...storeClient,
    append: async (request) => {
      await other.publish(makeDirectory(32), "--expect-version=0");
      return await storeClient.append(request);
    },
  };
  const code = await terminal.publish(makeDirectory(), "--expect-version=0");
  assert.equal(code, EXIT_CODES.refused);
  assert.equal(platform.recordCount, 1);
  assert.match(terminal.takeOutput(), /version 1 by neema/);
});

test("finds its record when only the response to the append is lost", async () => {
  // The store appends the record and the connection breaks before the response.
  // Reporting a failure would make the operator publish again.
  const platform = new FakePlatform();
  const terminal = new FakeTerminal(platform);
  platform.store.setFaultMode("terminal", "losing-answers");
  const running = terminal.publish(makeDirectory(), "--expect-version=0");
  void platform.clock.sleep(1_500)
    .then(() => platform.store.setFaultMode("terminal", "serving"));
  const code = await running;
  assert.equal(code, EXIT_CODES.done);
  assert.equal(platform.recordCount, 1);
});

test("an append that arrives after its retry changes nothing", async () => {
  // The first append is delayed and its retry is accepted. When the first
  // append arrives later, it must not add a second version.
  const platform = new FakePlatform();
  const terminal = new FakeTerminal(platform);
  const { storeClient } = terminal;
  let attempts = 0;
  terminal.storeClient = {
    ...storeClient,
    append: (request) => {
      attempts++;
      if (attempts > 1) {
        return storeClient.append(request);
      }
      void platform.clock.sleep(DELIVERY_DELAY_MS).then(() =>
        storeClient.append(request)
      );
      return Promise.resolve(
        Err({ kind: "unavailable", message: "No answer" }),
      );
    },
  };
  const code = await terminal.publish(makeDirectory(), "--expect-version=0");
  assert.equal(code, EXIT_CODES.done);
  await platform.clock.advance(DELIVERY_DELAY_MS);
  assert.equal(platform.recordCount, 1);
});

/** Publishes to a store that does not respond and returns the id to resume. */
async function publishWithoutResponse(
  terminal: FakeTerminal,
  directory: string,
): Promise<string> {
  const { storeClient } = terminal;
  terminal.storeClient = createUnresponsiveStore(
    storeClient,
    terminal.platform,
  );
  const code = await terminal.publish(directory, "--expect-version=0");
  assert.equal(code, EXIT_CODES.unknown);
  const output = terminal.takeOutput();
  assert.match(output, /^UNKNOWN whether it was accepted/m);
  terminal.storeClient = storeClient;
  return /--resume (\S+);/.exec(output)?.[1] ?? "";
}

test("reports unknown during an outage and resumes without publishing twice", async () => {
  // The store stops responding during a publication, so the command cannot know
  // whether the record was appended, and must report neither outcome.
  // The record arrives during the outage; resuming must not append it again.
  const terminal = new FakeTerminal(new FakePlatform());
  const directory = makeDirectory();
  const id = await publishWithoutResponse(terminal, directory);
  await terminal.platform.clock.advance(DELIVERY_DELAY_MS);
  const resume = ["--expect-version=0", `--resume=${id}`];
  assert.equal(await terminal.publish(directory, ...resume), EXIT_CODES.done);
  assert.match(terminal.takeOutput(), /Version 1 is accepted/);
  assert.equal(terminal.platform.recordCount, 1);
});

test("resumes by appending again if no record has arrived", async () => {
  const terminal = new FakeTerminal(new FakePlatform());
  const directory = makeDirectory();
  const id = await publishWithoutResponse(terminal, directory);
  const resume = ["--expect-version=0", `--resume=${id}`];
  assert.equal(await terminal.publish(directory, ...resume), EXIT_CODES.done);
  await terminal.platform.clock.advance(DELIVERY_DELAY_MS);
  assert.equal(terminal.platform.recordCount, 1);
  await terminal.run("diff", directory, STORE);
  assert.match(terminal.takeOutput(), /No difference from version 1/);
});

test("refuses to resume with content that differs from the first attempt's", async () => {
  // The files change while the outcome is unknown. If both contents were sent
  // under one id, either could be accepted, so nothing must be sent.
  const terminal = new FakeTerminal(new FakePlatform());
  const id = await publishWithoutResponse(terminal, makeDirectory());
  const resume = ["--expect-version=0", `--resume=${id}`];
  const code = await terminal.publish(makeDirectory(7), ...resume);
  assert.equal(code, EXIT_CODES.refused);
  assert.equal(terminal.platform.recordCount, 0);
});

test("reports a lost publication as refused once another has its version", async () => {
  const terminal = new FakeTerminal(new FakePlatform());
  const directory = makeDirectory();
  const id = await publishWithoutResponse(terminal, directory);
  await terminal.publish(makeDirectory(9), "--expect-version=0");
  terminal.takeOutput();
  const resume = ["--expect-version=0", `--resume=${id}`];
  const code = await terminal.publish(directory, ...resume);
  assert.equal(code, EXIT_CODES.refused);
  assert.match(terminal.takeOutput(), /but version 1 is in force/);
});

test("reports unknown when later publications have displaced the note", async () => {
  // The operator resumes after twenty-one later versions. The store keeps only
  // the last notes, so the lost publication may be among those without a note.
  const terminal = new FakeTerminal(new FakePlatform());
  const directory = makeDirectory();
  const id = await publishWithoutResponse(terminal, directory);
  for (let version = 0; version <= 20; version++) {
    await terminal.publish(
      makeDirectory(100 + version),
      `--expect-version=${version}`,
    );
  }
  terminal.takeOutput();
  const resume = ["--expect-version=0", `--resume=${id}`];
  const code = await terminal.publish(directory, ...resume);
  assert.equal(code, EXIT_CODES.unknown);
  assert.match(terminal.takeOutput(), /Too much has been published since/);
});

test("reports that nothing was published when the store cannot be reached", async () => {
  const platform = new FakePlatform();
  const terminal = new FakeTerminal(platform);
  const { storeClient } = terminal;
  terminal.storeClient = {
    ...storeClient,
    append: () =>
      Promise.resolve(Err({ kind: "refused", message: "no connection" })),
  };
  const code = await terminal.publish(makeDirectory(), "--expect-version=0");
  assert.equal(code, EXIT_CODES.unavailable);
  terminal.storeClient = storeClient;
  platform.store.setFaultMode("terminal", "silent");
  const again = await terminal.publish(makeDirectory(), "--expect-version=0");
  assert.equal(again, EXIT_CODES.unavailable);
  assert.equal(platform.recordCount, 0);
});

test("removes documents only with --allow-removals", async () => {
  // A file is missing from a checkout, and publishing would remove a client
  // account, whose callers would then be refused. The refusal must name it.
  const terminal = new FakeTerminal(new FakePlatform());
  await terminal.publish(makeDirectory(64, "nile"), "--expect-version=0");
  const renamed = makeDirectory(64, "awash");
  const refused = await terminal.publish(renamed, "--expect-version=1");
  assert.equal(refused, EXIT_CODES.refused);
  assert.match(terminal.takeOutput(), /lacks clientAccount nile/);
  const more = ["--expect-version=1", "--allow-removals"];
  assert.equal(await terminal.publish(renamed, ...more), EXIT_CODES.done);
});

test("lists the instances that are behind or do not respond", async () => {
  const platform = new FakePlatform();
  ["a", "b", "c"].forEach((id) => platform.addMember(id));
  const terminal = new FakeTerminal(platform);
  terminal.versions.set("a", 1).set("b", 0);
  const code = await terminal.publish(makeDirectory(), "--expect-version=0");
  assert.equal(code, EXIT_CODES.lagging);
  const output = terminal.takeOutput();
  assert.match(output, /In force on 1 of 3 instances/);
  assert.match(output, /^b .*version 0 BEHIND/m);
  assert.match(output, /^c .*no answer, timed out/m);
  terminal.versions.set("b", 1).set("c", 1);
  const status = await terminal.run("status", STORE);
  assert.equal(status, EXIT_CODES.done);
  const shown = terminal.takeOutput();
  assert.match(shown, /in force on 3 of 3 instances/);
  assert.match(shown, /^a .*ready, reader$/m);
  assert.match(shown, /^b .*ready$/m);
});

test("queries the given instances while the store is down", async () => {
  const terminal = new FakeTerminal(new FakePlatform());
  terminal.platform.store.setFaultMode("terminal", "silent");
  terminal.versions.set("a", 4).set("b", 3);
  const asked = ["--instance=a:1", "--instance=b:1"];
  assert.equal(await terminal.run("status", ...asked), EXIT_CODES.lagging);
  assert.match(terminal.takeOutput(), /b:1.* version 3 BEHIND/);
  assert.equal(await terminal.run("status", STORE), EXIT_CODES.unavailable);
});

test("does not wait for an instance whose process has ended", async () => {
  // An instance is killed and its member record stays in the store. Its address
  // refuses connections, so no version can come into force there.
  const platform = new FakePlatform();
  platform.addMember("a");
  platform.addMember("b");
  const terminal = new FakeTerminal(platform);
  terminal.versions.set("a", 1);
  terminal.stoppedInstances.add("b");
  const code = await terminal.publish(makeDirectory(), "--expect-version=0");
  assert.equal(code, EXIT_CODES.done);
  assert.match(terminal.takeOutput(), /In force on 1 of 1 instances/);
});

test("the output of show equals the declarations in force", async () => {
  const terminal = new FakeTerminal(new FakePlatform());
  await terminal.publish(makeDirectory(), "--expect-version=0");
  terminal.takeOutput();
  await terminal.run("show", STORE);
  const directory = makeDirectory();
  writeFileSync(join(directory, "ledger.yaml"), terminal.takeOutput());
  await terminal.run("diff", directory, STORE);
  assert.match(terminal.takeOutput(), /^No difference from version 1/);
});

test("wrong usage and a refusal have different exit codes", async () => {
  const terminal = new FakeTerminal(new FakePlatform());
  const code = await terminal.publish(makeDirectory(), "--expect-version=one");
  assert.equal(code, EXIT_CODES.usage);
  assert.match(terminal.takeOutput(), /"one" is not a version number/);
  assert.equal(await terminal.run("publish", "--help"), EXIT_CODES.done);
});
