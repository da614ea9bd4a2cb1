import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import fc from "fast-check";
import { LAST_KEY } from "@lentilspur/ports/key_orders";
import { KEEPER_KEY, TABLE_PREFIX, WITNESSES_KEY } from "./keeper_records.ts";
import { parseTable, serializeTable } from "./key_table.ts";
import { parsePartitionState } from "./partition_state.ts";

const DEEP = `${"[".repeat(20_000)}${"]".repeat(20_000)}`;
const CLAIM = { instance: "bole-1", incarnation: "1", term: 3 };
const WITNESSES = { term: 3, instances: ["bole-2/1"], unresolved: [] };

function readState(key: string, text: string) {
  return parsePartitionState([
    { key: KEEPER_KEY, value: JSON.stringify(CLAIM), offset: 3 },
    { key, value: text, offset: 4 },
  ], 5);
}

test("a table with numbers, addresses or names that cannot be used is left out", () => {
  const create = (target: unknown, range: unknown) =>
    JSON.stringify({ targets: [target], ranges: [range] });
  const all = [0, LAST_KEY, 0, 1];
  assert.ok(parseTable(create(["a", "10.0.0.1:80"], all)).ok);
  const texts = [
    create(["a", "10.0.0.1:70000"], all),
    create(["a", "10.0.0.1"], all),
    create(["a".repeat(10_000), "a:80"], all),
    create(["a", "a:80", 2 ** 53], all),
    create(["a", "a:80"], [0, LAST_KEY, 0, 2 ** 53]),
    create(["a", "a:80"], [0, LAST_KEY, 0, 1e300]),
    create(["a", "a:80"], [0, LAST_KEY, -1, 1]),
    create(["a", "a:80"], 7),
    create(null, all),
    '{"targets":7,"ranges":null}',
    DEEP,
  ];
  for (const text of texts) {
    const parsed = parseTable(text);
    assert.ok(!parsed.ok, text.slice(0, 100));
    assert.ok(parsed.val.length < 300);
    const { tables, faults } = readState(`${TABLE_PREFIX}s`, text);
    assert.equal(tables.size, 0);
    assert.equal(faults.length, 1);
  }
});

test("an odd claim starts a term of its offset and names no keepers", () => {
  const odd = [
    DEEP,
    "7",
    "null",
    JSON.stringify({ ...CLAIM, term: 2 ** 52 }),
    JSON.stringify({ ...CLAIM, unresolved: 7 }),
    JSON.stringify({ ...CLAIM, unresolved: [null] }),
    JSON.stringify({ ...CLAIM, unresolved: [{ ...CLAIM, witnesses: 7 }] }),
    JSON.stringify({ ...CLAIM, incarnation: "a".repeat(100_000) }),
  ];
  for (const text of odd) {
    const state = readState(KEEPER_KEY, text);
    assert.equal(state.term, 4, text.slice(0, 100));
    assert.equal(state.claim, undefined);
    assert.deepEqual(state.unresolved, []);
  }
});

test("any record of a partition can be parsed, and what is accepted is stable", () => {
  const odd = fc.oneof(
    fc.jsonValue(),
    fc.constantFrom(1e300, -1, 2 ** 53, "", null, [], {}),
  );
  const text = fc.oneof(
    fc.json(),
    fc.string({ unit: "binary" }),
    fc.constant(DEEP),
    fc.record({
      targets: fc.array(fc.tuple(fc.constant("a"), fc.constant("a:80"), odd)),
      ranges: fc.array(fc.oneof(odd, fc.tuple(odd, odd, odd, odd))),
    }).map((table) => JSON.stringify(table)),
    fc.tuple(
      fc.constantFrom(CLAIM, WITNESSES),
      fc.dictionary(
        fc.constantFrom("instance", "term", "instances", "unresolved"),
        fc.oneof(odd, fc.array(odd)),
      ),
    ).map(([record, changes]) => JSON.stringify({ ...record, ...changes })),
  );
  const key = fc.constantFrom(KEEPER_KEY, WITNESSES_KEY, `${TABLE_PREFIX}s`);
  fc.assert(
    fc.property(key, text, (name, value) => {
      const state = readState(name, value);
      assert.ok(state.faults.every((fault) => fault.length < 400));
      for (const witness of state.witnesses) {
        assert.equal(typeof witness, "string");
      }
      for (const { instance, term, witnesses } of state.unresolved) {
        assert.ok(typeof instance === "string" && Array.isArray(witnesses));
        assert.ok(Number.isSafeInteger(term));
      }
      for (const table of state.tables.values()) {
        assert.deepEqual(parseTable(serializeTable(table)).unwrap(), table);
      }
    }),
    {
      seed: Number(process.env["FUZZ_SEED"] ?? 68),
      numRuns: 20 * Number(process.env["FUZZ_RUNS"] ?? 100),
    },
  );
});
