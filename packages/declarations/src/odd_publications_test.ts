import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { decodePublishedRouting } from "./publication.ts";

test("a publication with odd templates or accounts is refused in a short text", () => {
  const create = (templates: unknown, clientAccounts: unknown = []) =>
    JSON.stringify({
      version: 1,
      configuration: { templates, clientAccounts },
      notes: [],
    });
  assert.ok(decodePublishedRouting(create([])).ok);
  const deep = `${"[".repeat(20_000)}${"]".repeat(20_000)}`;
  const texts = [
    create([{ name: "a" }]),
    create([{ name: "a", limits: null, routes: 7 }]),
    create([], [{ name: "a" }]),
    create(Array.from({ length: 10_000 }, () => null)),
    create([]).replace('"notes":[]', `"notes":${deep}`),
    deep,
    "null",
  ];
  for (const text of texts) {
    const decoded = decodePublishedRouting(text);
    assert.ok(!decoded.ok, text.slice(0, 80));
    assert.ok(decoded.val.length < 400);
  }
  fc.assert(
    fc.property(fc.jsonValue(), fc.jsonValue(), (templates, accounts) => {
      decodePublishedRouting(create([templates], [accounts]));
      decodePublishedRouting(create(templates, accounts));
    }),
    { seed: 68, numRuns: 500 },
  );
});
