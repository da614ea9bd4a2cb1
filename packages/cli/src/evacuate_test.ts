import assert from "node:assert/strict";
import { test } from "node:test";
import { PUBLISHED_CONFIGURATION } from "@lentilspur/platform/declared_adapter";
import { EXIT_CODES } from "./exit_codes.ts";
import {
  FakePlatform,
  FakeTerminal,
  makeDirectory,
} from "./testing/fake_terminal.ts";

const OPTIONS = ["--store=127.0.0.1:1", "--operator=neema"];

function createTerminal(): FakeTerminal {
  const platform = new FakePlatform();
  platform.addTarget("ledger-1", "bole");
  platform.addTarget("ledger-2", "yeka");
  return new FakeTerminal(platform);
}

function findNewestValue(
  terminal: FakeTerminal,
  key: string,
): string | undefined {
  return terminal.platform.store.listRecords(PUBLISHED_CONFIGURATION)
    .findLast((record) => record.key === key)?.value;
}

test("evacuates a data centre and restores it", async () => {
  const terminal = createTerminal();
  const evacuate = ["evacuate", "yeka", ...OPTIONS];
  assert.equal(await terminal.run(...evacuate), EXIT_CODES.done);
  assert.match(
    findNewestValue(terminal, "evacuate/yeka")!,
    /"operator":"neema"/,
  );
  assert.equal(await terminal.run(...evacuate), EXIT_CODES.done);
  assert.match(terminal.takeOutput(), /yeka is evacuated already/);
  assert.equal(terminal.platform.recordCount, 1);
  const restore = ["restore", "yeka", ...OPTIONS];
  assert.equal(await terminal.run(...restore), EXIT_CODES.done);
  assert.equal(findNewestValue(terminal, "evacuate/yeka"), "");
});

test("refuses to evacuate a data centre without targets", async () => {
  const terminal = createTerminal();
  const code = await terminal.run("evacuate", "yekka", ...OPTIONS);
  assert.equal(code, EXIT_CODES.refused);
  assert.match(terminal.takeOutput(), /name one of: bole, yeka/);
  assert.equal(terminal.platform.recordCount, 0);
});

test("retries a publication after a concurrent evacuation", async () => {
  // An evacuation is appended to the same partition between the publication's
  // read and its append, so the append's condition on the end offset fails.
  const terminal = createTerminal();
  const { storeClient } = terminal;
  terminal.storeClient = {
    ...storeClient,
    append: (request) => {
      if (request.at !== undefined && terminal.platform.recordCount === 0) {
        const { store } = terminal.platform;
        store.write(PUBLISHED_CONFIGURATION, "evacuate/yeka", "{}");
      }
      return storeClient.append(request);
    },
  };
  const code = await terminal
    .publish(makeDirectory(), "--expect-version=0");
  const output = terminal.takeOutput();
  assert.match(output, /Version 1 is accepted/);
  assert.notEqual(code, EXIT_CODES.refused);
});

test("status shows the evacuated data centres that instances report", async () => {
  const terminal = createTerminal();
  terminal.platform.addMember("a");
  terminal.versions.set("a", 0);
  terminal.evacuated = ["yeka"];
  await terminal.run("status", "--store=127.0.0.1:1");
  assert.match(terminal.takeOutput(), /a \(Bole, a:1\): .*, evacuated: yeka/);
});
