import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { DEFAULT_TIMING } from "@lentilspur/router/settings";
import {
  getFlagName,
  getVariableName,
  listSettingNames,
  type Setting,
  SETTINGS,
} from "./setting_table.ts";
import { resolveSettings } from "./setting_values.ts";

const REQUIRED = {
  dataCentre: "Bole",
  logUrl: "http://127.0.0.1:7000",
  instanceListUrl: "http://127.0.0.1:7001",
};

test("defaults give the timing that the design states", () => {
  const result = resolveSettings({ flags: REQUIRED, environment: {} }, "x1");
  assert.ok(result.ok, String(result.val));
  assert.deepEqual(result.val.timing, DEFAULT_TIMING);
  assert.equal(result.val.instanceId, "instance-x1");
});

test("a flag goes before its environment variable", () => {
  const environment = { LENTILSPUR_LEASE: "4s", LENTILSPUR_HTTP_PORT: "81" };
  const flags = { ...REQUIRED, lease: "3s" };
  const result = resolveSettings({ flags, environment }, "x1");
  assert.ok(result.ok, String(result.val));
  assert.equal(result.val.timing.leaseMs, 3_000);
  assert.equal(result.val.httpPort, 81);
});

test("tells all faults at once, each with its source", () => {
  // Somebody writes a unit file by hand: one required setting is missing, one
  // lacks its unit, one name is misspelt, and two do not fit each other.
  const result = resolveSettings({
    flags: { dataCentre: "Bole", logUrl: REQUIRED.logUrl, lease: "1s" },
    environment: {
      LENTILSPUR_GRANT: "2000",
      LENTILSPUR_LESE: "2s",
      LENTILSPUR_PEER_HOST: "peer.example",
    },
  }, "x1");
  assert.ok(!result.ok);
  const starts = result.val.map((fault) => fault.split(" ")[0]);
  assert.deepEqual(starts, [
    "LENTILSPUR_LESE",
    "LENTILSPUR_PEER_HOST",
    "--instance-list-url",
    "LENTILSPUR_GRANT",
    "--lease",
  ]);
});

test("the operators' page lists every setting as it is", () => {
  const page = readFileSync(
    new URL("../../../docs/operating/settings.md", import.meta.url),
    "utf8",
  );
  const rows = listSettingNames().map((name) => {
    const setting: Setting<unknown> = SETTINGS[name];
    const fallback = setting.fallback === undefined
      ? "required"
      : `\`${setting.fallback}\``;
    const flag = `\`--${getFlagName(name)}\``;
    const variable = `\`${getVariableName(name)}\``;
    return [flag, variable, fallback, setting.description].join(" | ");
  });
  const normalized = page.replace(/ +/g, " ");
  assert.deepEqual(rows.filter((row) => !normalized.includes(row)), []);
});
