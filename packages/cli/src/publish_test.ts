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
 * Longer than any command goes on. The virtual clock runs while a command reads
 * its files in real time, which takes many of its steps on a busy machine.
 */
const DELIVERY_DELAY_MS = 600_000;

/**
 * A link on which the first append arrives long after, and every further one is
 * lost: nothing is answered.
 */
function createUnresponsiveStore(link: Store, platform: FakePlatform): Store {
  let tries = 0;
  return {
    ...link,
    append: async (request: AppendRequest) => {
      tries++;
      if (tries === 1) {
        void platform.clock.sleep(DELIVERY_DELAY_MS).then(() =>
          link.append(request)
        );
      }
      await platform.clock.sleep(1_000);
      return Err({ kind: "unavailable", message: "No answer" });
    },
  };
}

test("publishes, shows the history and finds no difference after", async () => {
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

test("tells the slower of two operators who was first and with what", async () => {
  // Two operators start from version 1. Both publish; the second is refused,
  // nothing of the second's reaches the store, and the second reads the name of
  // the first, the version now in force and the documents that changed.
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

test("loses cleanly when the other record reaches the store first", async () => {
  // Both read version 0 before either appends. The other's append comes first;
  // this one finds that the partition does not end where it has read to.
  const platform = new FakePlatform();
  const [other, terminal] = [
    new FakeTerminal(platform),
    new FakeTerminal(platform),
  ];
  const { storeClient: link } = terminal;
  terminal.storeClient = {
    ...link,
    append: async (request) => {
      await other.publish(makeDirectory(32), "--expect-version=0");
      return await link.append(request);
    },
  };
  const code = await terminal.publish(makeDirectory(), "--expect-version=0");
  assert.equal(code, EXIT_CODES.refused);
  assert.equal(platform.recordCount, 1);
  assert.match(terminal.takeOutput(), /version 1 by neema/);
});

test("finds its record when only the answer to the append was lost", async () => {
  // The store takes the record and the connection breaks before the answer. An
  // operator who is told "failed" would publish again; told is the truth.
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

test("an append that takes effect after its repetition changes nothing", async () => {
  // The first append hangs in the platform, its repetition is accepted, and
  // the first arrives after all: one version, one line in the history.
  const platform = new FakePlatform();
  const terminal = new FakeTerminal(platform);
  const { storeClient: link } = terminal;
  let tries = 0;
  terminal.storeClient = {
    ...link,
    append: (request) => {
      tries++;
      if (tries > 1) {
        return link.append(request);
      }
      void platform.clock.sleep(DELIVERY_DELAY_MS).then(() =>
        link.append(request)
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

/** Publishes into a store that goes silent, and returns the id to resume. */
async function publishWithoutResponse(
  terminal: FakeTerminal,
  directory: string,
): Promise<string> {
  const { storeClient: link } = terminal;
  terminal.storeClient = createUnresponsiveStore(link, terminal.platform);
  const code = await terminal.publish(directory, "--expect-version=0");
  assert.equal(code, EXIT_CODES.unknown);
  const output = terminal.takeOutput();
  assert.match(output, /^UNKNOWN whether it was accepted/m);
  terminal.storeClient = link;
  return /--resume (\S+);/.exec(output)?.[1] ?? "";
}

test("says unknown during an outage, and resumes to one publication", async () => {
  // The store stops answering in the middle of a publication. Whether it took
  // the record cannot be known, so neither "accepted" nor "failed" is said.
  // After the outage the operator resumes; the record had arrived meanwhile.
  const terminal = new FakeTerminal(new FakePlatform());
  const directory = makeDirectory();
  const id = await publishWithoutResponse(terminal, directory);
  await terminal.platform.clock.advance(DELIVERY_DELAY_MS);
  const resume = ["--expect-version=0", `--resume=${id}`];
  assert.equal(await terminal.publish(directory, ...resume), EXIT_CODES.done);
  assert.match(terminal.takeOutput(), /Version 1 is accepted/);
  assert.equal(terminal.platform.recordCount, 1);
});

test("resumes by appending anew where nothing had arrived", async () => {
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

test("refuses to resume with other content than the first attempt", async () => {
  // The files changed while the outcome was unknown. Sent under the same id,
  // either content could win; so nothing is sent.
  const terminal = new FakeTerminal(new FakePlatform());
  const id = await publishWithoutResponse(terminal, makeDirectory());
  const resume = ["--expect-version=0", `--resume=${id}`];
  const code = await terminal.publish(makeDirectory(7), ...resume);
  assert.equal(code, EXIT_CODES.refused);
  assert.equal(terminal.platform.recordCount, 0);
});

test("tells a lost publication as refused once another took its version", async () => {
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

test("says so where later publications have pushed the note out", async () => {
  // The operator resumes after a holiday. Twenty-one versions have come since,
  // and only the last notes are kept: the lost publication may be among those
  // that are not told any more.
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

test("says that nothing was published when the store cannot be reached", async () => {
  const platform = new FakePlatform();
  const terminal = new FakeTerminal(platform);
  const { storeClient: link } = terminal;
  terminal.storeClient = {
    ...link,
    append: () =>
      Promise.resolve(Err({ kind: "refused", message: "no connection" })),
  };
  const code = await terminal.publish(makeDirectory(), "--expect-version=0");
  assert.equal(code, EXIT_CODES.unavailable);
  terminal.storeClient = link;
  platform.store.setFaultMode("terminal", "silent");
  const again = await terminal.publish(makeDirectory(), "--expect-version=0");
  assert.equal(again, EXIT_CODES.unavailable);
  assert.equal(platform.recordCount, 0);
});

test("removes documents only when asked to", async () => {
  // A file is missing from a checkout. Publishing it would lock a client
  // account out, so the removal is named and refused unless asked for.
  const terminal = new FakeTerminal(new FakePlatform());
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

test("asks named instances while the store is down", async () => {
  const terminal = new FakeTerminal(new FakePlatform());
  terminal.platform.store.setFaultMode("terminal", "silent");
  terminal.versions.set("a", 4).set("b", 3);
  const asked = ["--instance=a:1", "--instance=b:1"];
  assert.equal(await terminal.run("status", ...asked), EXIT_CODES.lagging);
  assert.match(terminal.takeOutput(), /b:1.* version 3 BEHIND/);
  assert.equal(await terminal.run("status", STORE), EXIT_CODES.unavailable);
});

test("does not wait for an instance whose process has ended", async () => {
  // An instance was killed and its record stays. Nothing listens at its
  // address, so it has no version that could lag.
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

test("shows what is in force in a form that changes nothing", async () => {
  const terminal = new FakeTerminal(new FakePlatform());
  await terminal.publish(makeDirectory(), "--expect-version=0");
  terminal.takeOutput();
  await terminal.run("show", STORE);
  const directory = makeDirectory();
  writeFileSync(join(directory, "ledger.yaml"), terminal.takeOutput());
  await terminal.run("diff", directory, STORE);
  assert.match(terminal.takeOutput(), /^No difference from version 1/);
});

test("tells wrong usage apart from a refusal", async () => {
  const terminal = new FakeTerminal(new FakePlatform());
  const code = await terminal.publish(makeDirectory(), "--expect-version=one");
  assert.equal(code, EXIT_CODES.usage);
  assert.match(terminal.takeOutput(), /"one" is no version/);
  assert.equal(await terminal.run("publish", "--help"), EXIT_CODES.done);
});
