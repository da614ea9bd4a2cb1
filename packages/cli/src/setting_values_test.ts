import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import {
  getFlagName,
  getVariableName,
  listSettingNames,
  type Setting,
  SETTINGS,
} from "./setting_table.ts";
import { resolveSettings } from "./setting_values.ts";

const REQUIRED = {
  instanceName: "bole-1",
  dataCentre: "Bole",
  store: "127.0.0.1:7000",
};

test("omitted settings have the documented defaults", () => {
  const result = resolveSettings({ flags: REQUIRED, environment: {} });
  assert.ok(result.ok, String(result.val));
  const { gateway, storeAddress, topicParts } = result.val;
  assert.equal(gateway.instance, "bole-1");
  assert.equal(gateway.requestPort, 8080);
  assert.equal(gateway.drainMs, 2_000);
  assert.deepEqual(gateway.retryLimits, {
    ratio: 0.1,
    reserve: 64,
    windowMs: 10_000,
  });
  assert.deepEqual([storeAddress, topicParts], ["127.0.0.1:7000", 8]);
});

test("a flag takes precedence over its environment variable", () => {
  const environment = { LENTILSPUR_DRAIN: "4s", LENTILSPUR_PORT: "81" };
  const flags = { ...REQUIRED, drain: "3s" };
  const result = resolveSettings({ flags, environment });
  assert.ok(result.ok, String(result.val));
  assert.equal(result.val.gateway.drainMs, 3_000);
  assert.equal(result.val.gateway.requestPort, 81);
});

test("reports all faults at once, each with its source", () => {
  // The faults: a missing required setting, a duration without a unit, a
  // misspelt variable, a host that is not an IP address, and a grace period
  // that is too short.
  const result = resolveSettings({
    flags: { dataCentre: "Bole", instanceName: "a", gracePeriod: "1s" },
    environment: {
      LENTILSPUR_MAX_HOLD: "2000",
      LENTILSPUR_DRIAN: "2s",
      LENTILSPUR_HOST: "peer.example",
    },
  });
  assert.ok(!result.ok);
  const starts = result.val.map((fault) => fault.split(" ")[0]);
  assert.deepEqual(starts, [
    "LENTILSPUR_DRIAN",
    "LENTILSPUR_HOST",
    "--store",
    "LENTILSPUR_MAX_HOLD",
    "--grace-period",
  ]);
});

test("docs/operating/settings.md lists every setting as in the table", () => {
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
