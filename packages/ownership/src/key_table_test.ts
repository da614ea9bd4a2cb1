import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { LAST_KEY } from "@lentilspur/ports/key_orders";
import {
  applyReassignments,
  createKeyTable,
  findRange,
  parseTable,
  serializeTable,
  settleRanges,
} from "./key_table.ts";

const OWNERS = ["a", "b", "c"].map((id) => ({ id, address: `${id}:80` }));

test("after any reassignments, the ranges cover all keys and list former holders", () => {
  const change = fc.record({
    from: fc.integer({ min: 0, max: LAST_KEY }),
    width: fc.integer({ min: 0, max: 20_000 }),
    owner: fc.constantFrom(...OWNERS),
    settles: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(change, { maxLength: 20 }), (changes) => {
      let table = createKeyTable(OWNERS, 1);
      for (
        const [index, { from, width, owner, settles }] of changes.entries()
      ) {
        const to = Math.min(LAST_KEY, from + width);
        const before = findRange(table, from)!;
        table = applyReassignments(table, [{ from, to, owner }], index + 2);
        const after = findRange(table, from)!;
        assert.equal(after.owner.id, owner.id);
        if (before.owner.id !== owner.id) {
          assert.ok(after.former.some(({ id }) => id === before.owner.id));
          assert.equal(after.owner.token, index + 2);
        }
        table = settles ? settleRanges(table, () => true) : table;
      }
      assert.deepEqual(parseTable(serializeTable(table)).unwrap(), table);
    }),
    { seed: 23, numRuns: 200 },
  );
});

test("a table with a gap or an invalid range is rejected", () => {
  const table = createKeyTable(OWNERS, 1);
  const text = serializeTable({ ranges: table.ranges.slice(1) });
  assert.ok(!parseTable(text).ok);
  assert.ok(!parseTable("{").ok);
  assert.ok(!parseTable('{"ranges":[{"from":0}]}').ok);
  for (const range of [[0], [0, 65_535], [0, 65_535, 1, 1], [0, 65_535, 0]]) {
    const odd = { targets: [["a", "a:80"]], ranges: [range] };
    assert.ok(!parseTable(JSON.stringify(odd)).ok);
  }
});

test("the table of 180 targets fits into one store record", () => {
  // The store accepts at most 256 KB per record. Ranges in transfer list two or
  // three holders each.
  const owners = Array.from({ length: 180 }, (_, index) => ({
    id: `i-${index}d00bed0cd`,
    address: `10.128.${index}.23:8269`,
    bornMs: 1_700_000_000_000 + index,
  }));
  const ranges = Array.from({ length: 2_048 }, (_, index) => ({
    from: index * 32,
    to: index * 32 + 31,
    owner: { ...owners[index % 180]!, token: 100_000 + index },
    former: [1, 2].map((step) => ({
      ...owners[(index + step) % 180]!,
      token: 90_000 + index,
    })),
  }));
  const text = serializeTable({ ranges });
  assert.ok(text.length < 150_000, `${text.length} bytes`);
  assert.deepEqual(parseTable(text).unwrap(), { ranges });
});
