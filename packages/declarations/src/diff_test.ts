import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { describeChanges } from "./change_text.ts";
import { applyChanges, diffConfigurations } from "./diff.ts";
import { renderConfiguration } from "./render.ts";
import type { ClientAccount, Configuration, Template } from "./template.ts";
import { validateDeclarations } from "./validate.ts";

const SEED = 20_261_202;
const TEMPLATE_NAMES = ["calendars", "payments", "reservations"];
const ACCOUNT_NAMES = ["abay", "nile", "sinza", "upanga"];

/** Parsed configurations have Object.prototype, so null prototypes are off. */
function createRecord<T>(model: { [K in keyof T]: fc.Arbitrary<T[K]> }) {
  return fc.record(model, { noNullPrototype: true });
}

const count = (max: number) => fc.integer({ min: 1, max });

function createTemplate(name: string): fc.Arbitrary<Template> {
  return createRecord({
    name: fc.constant(name),
    routes: fc.uniqueArray(
      createRecord({
        method: fc.constantFrom("GET", "POST", "PUT"),
        path: fc.constantFrom(`/${name}/{key}`, `/${name}/{key}/holds`),
        idempotent: fc.boolean(),
      }),
      { minLength: 1, maxLength: 4, selector: (r) => `${r.method} ${r.path}` },
    ),
    // Constant, because the shard count of a template cannot change.
    shardCount: fc.constant(256),
    placesPerTarget: count(8),
    deadlines: createRecord({
      defaultMs: count(5_000),
      maxMs: fc.constant(5_000),
    }),
    limits: createRecord({
      maxBodyBytes: count(1 << 20),
      maxAnswerBytes: count(1 << 20),
      maxQueuedPerTarget: count(512),
      maxQueueMs: count(5_000),
    }),
    placement: createRecord({
      imbalance: count(9),
      churn: count(9),
      unservedTime: count(9),
    }),
    retry: createRecord({
      budgetRatio: fc.constantFrom(0, 0.1, 0.25),
      maxAttempts: count(4),
    }),
    maxHotKeys: count(64),
    drainPriority: count(9),
  });
}

function createAccount(
  name: string,
  templates: readonly string[],
): fc.Arbitrary<ClientAccount> {
  const digest = Buffer.from(name).toString("hex").padEnd(64, "0");
  const parameters = templates.map((template) =>
    createRecord({
      template: fc.constant(template),
      weight: count(9),
      requestsPerSecond: fc.constantFrom(0.5, 1 / 3, 20, 200, 7 / 3_600),
      burst: count(99),
      maxConcurrent: count(99),
    })
  );
  return createRecord({
    name: fc.constant(name),
    credentialDigests: fc.constant([digest]),
    templates: fc.tuple(...parameters),
  });
}

const configurations: fc.Arbitrary<Configuration> = fc
  .subarray(TEMPLATE_NAMES, { minLength: 1 })
  .chain((names) =>
    createRecord({
      templates: fc.tuple(...names.map(createTemplate)),
      clientAccounts: fc
        .subarray(ACCOUNT_NAMES)
        .chain((accounts) =>
          fc.tuple(...accounts.map((name) => createAccount(name, names)))
        ),
    })
  );

test("applying a diff to a configuration gives the later configuration", () => {
  fc.assert(
    fc.property(configurations, configurations, (before, after) => {
      const changes = diffConfigurations(before, after);
      assert.deepEqual(applyChanges(before, changes), after);
    }),
    { seed: SEED },
  );
});

test("a rendered configuration validates to the same configuration", () => {
  fc.assert(
    fc.property(configurations, (configuration) => {
      const text = renderConfiguration(configuration);
      const result = validateDeclarations([{ name: "all.yaml", text }]);
      assert.ok(result.ok, JSON.stringify(result.val));
      assert.deepEqual(result.val, configuration);
    }),
    { seed: SEED },
  );
});

test("every changed document has a title line", () => {
  fc.assert(
    fc.property(configurations, configurations, (before, after) => {
      const changes = diffConfigurations(before, after);
      const lines = describeChanges(before, changes);
      const titles = lines.filter((line) => !line.startsWith(" "));
      assert.equal(titles.length, changes.length);
    }),
    { seed: SEED },
  );
});

test("a changed limit is shown with its old and new value", () => {
  const [before] = fc.sample(configurations, { seed: SEED, numRuns: 1 });
  const [template] = before?.templates ?? [];
  assert.ok(before && template);
  const limits = { ...template.limits, maxBodyBytes: 3 * 1_024 };
  const after = applyChanges(before, [
    { kind: "template", name: template.name, content: { ...template, limits } },
  ]);
  const lines = describeChanges(before, diffConfigurations(before, after));
  assert.equal(lines[0], `~ template ${template.name}`);
  assert.match(lines[1] ?? "", /^ {4}limits\.maxBody: \S+ -> 3KiB$/);
  assert.equal(lines.length, 2);
});
