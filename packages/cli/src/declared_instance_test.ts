import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { request } from "undici";
import { test } from "node:test";
import { openStore } from "@lentilspur/platform/adapter";
import { TARGETS_PARTITION } from "@lentilspur/platform/declared_adapter";
import { StoreServer } from "@lentilspur/platform/standins/store_server";
import { TargetServer } from "@lentilspur/platform/standins/target_server";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { createSystemContext } from "./command_context.ts";
import { startDeclaredInstance } from "./declared_instance.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import { fetchInstanceStatus } from "./instance_status.ts";
import { runCommandLine } from "./main.ts";
import { resolveSettings } from "./setting_values.ts";

const PLAYGROUND = "../../../playground/abay/";
const DIRECTORY = new URL(PLAYGROUND, import.meta.url).pathname;
const CREDENTIAL = "playground-highland-mutual";
const POLL_MS = 50;

interface ParsedResponse {
  readonly status: number;
  readonly outcome: string;
  readonly body: Readonly<Record<string, unknown>>;
}

async function send(
  address: string,
  options: {
    readonly method?: "GET" | "POST";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
  },
): Promise<ParsedResponse> {
  const { method = "GET", path, headers, body } = options;
  const response = await request(`http://${address}${path}`, {
    method,
    headers: headers ?? { authorization: `Bearer ${CREDENTIAL}` },
    ...(body === undefined ? {} : { body }),
  });
  return {
    status: response.statusCode,
    outcome: String(response.headers["lentilspur-outcome"]),
    body: await response.body.json() as ParsedResponse["body"],
  };
}

function getErrorKind({ body }: ParsedResponse): unknown {
  return (body["error"] as { kind?: unknown } | undefined)?.kind;
}

test("an instance applies a publication, routes requests, assigns keys and refuses invalid requests", async () => {
  // An operator publishes declarations into an empty store. An instance that
  // runs already must apply them, assign keys to the targets and admit only the
  // declared client accounts. The instance is the one that `serve` starts.
  const clock = new SystemClock();
  const storeServer = new StoreServer(clock);
  const storeAddress = await storeServer.open();
  const store = openStore(storeAddress, clock);
  const targets = ["case-files", "demands", "ledger"].map((service) =>
    new TargetServer({
      clock,
      id: `${service}-1`,
      service,
      dataCentre: "bole",
      keyed: true,
      workMs: 2,
      writeEntry: (key, value) =>
        void store.append({ partition: TARGETS_PARTITION, key, value }),
    })
  );
  await Promise.all(targets.map((target) => target.open()));
  const settings = resolveSettings({
    flags: {
      instanceName: "bole-1",
      dataCentre: "bole",
      store: storeAddress,
      port: "0",
      peerPort: "0",
      statusPort: "0",
      metricsPort: "0",
    },
    environment: {},
  }).unwrap();
  const instance = await startDeclaredInstance(settings);
  const address = `127.0.0.1:${instance.ports.request}`;

  const earlyResponse = await send(address, { path: "/case-files/case-9" });
  assert.equal(getErrorKind(earlyResponse), "not-ready");

  const context = { ...createSystemContext(), print: () => {} };
  const published = await runCommandLine([
    "publish",
    DIRECTORY,
    "--expect-version=0",
    "--operator=neema",
    `--store=${storeAddress}`,
  ], context);
  assert.equal(published, EXIT_CODES.done);
  const status = await fetchInstanceStatus(
    `127.0.0.1:${instance.ports.status}`,
  );
  assert.equal(status.unwrap().configurationVersion, 1);

  let response = await send(address, { path: "/case-files/case-9" });
  while (response.status !== 200) {
    await clock.sleep(POLL_MS);
    response = await send(address, { path: "/case-files/case-9" });
  }
  assert.equal(response.outcome, "ran");
  assert.equal(response.body["path"], "/case-files/case-9");
  const encodedKeyResponse = await send(address, {
    path: "/case-files/case%2D9",
  });
  assert.equal(
    encodedKeyResponse.body["key"],
    response.body["key"],
    "both spellings of a key have the same number",
  );

  const refusals = [
    { path: "/case-files/case-9", headers: {} },
    { path: "/case-files/case-9", headers: { authorization: "Bearer other" } },
    { path: "/nothing" },
    {
      path: "/case-files/case-9",
      headers: {
        authorization: `Bearer ${CREDENTIAL}`,
        "lentilspur-request-id": "mine",
      },
    },
    {
      method: "POST" as const,
      path: "/ledger/case-9/settlements",
      body: "x".repeat(65_537),
    },
  ];
  const kinds = [];
  for (const refusal of refusals) {
    const refusedResponse = await send(address, refusal);
    assert.equal(refusedResponse.outcome, "not-run");
    kinds.push(getErrorKind(refusedResponse));
  }
  assert.deepEqual(kinds, [
    "unauthenticated",
    "unauthenticated",
    "no-such-route",
    "malformed",
    "body-too-large",
  ]);

  await instance.stop();
  targets.forEach((target) => target.kill());
  await clock.sleep(POLL_MS);
  store.close();
  storeServer.close();
});

test("the README's example uses a credential of the playground", () => {
  const readme = readFileSync(
    new URL("../../../README.md", import.meta.url),
    "utf8",
  );
  assert.ok(readme.includes(`Bearer ${CREDENTIAL}`));
});
