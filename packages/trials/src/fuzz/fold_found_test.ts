/** Shrunk counter-examples that the fuzz of the fold has found, unchanged. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Entry } from "@lentilspur/state/entries";
import { Fold } from "@lentilspur/state/fold";
import { applyPayload, createFoldPair } from "./fold_commands.ts";
import { createTemplate } from "./fold_entries.ts";

function publish(
  expectedVersion: number,
  documents: readonly (readonly [string, number | null])[],
): Entry {
  return {
    kind: "configuration-published",
    expectedVersion,
    changes: documents.map(([name, shards]) => ({
      kind: "template",
      name,
      content: shards === null ? null : createTemplate(name, shards),
    })),
    operator: "abebe",
  };
}

test("a publication that names a new template twice leaves no key without a unit", () => {
  // An operator's publication holds one template twice with two shard counts,
  // as a merge of two branches may leave it. The units were made for the
  // first and the declaration kept from the second, so keys of the missing
  // shards were refused for ever. Found with seed 77.
  const { model, real } = createFoldPair(() => new Fold());
  const envelopes = [
    ["operator:abebe", publish(1, [["demands", null]])],
    ["a", publish(2, [["demands", 3], ["demands", 2]])],
  ] as const;
  envelopes.forEach(([author, entry], index) => {
    const envelope = { id: `found#${index}`, author, entries: [entry] };
    applyPayload(JSON.stringify(envelope), model, real);
  });
  assert.ok(real.fold.configurationVersion >= 2);
});
