import assert from "node:assert/strict";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { validateDeclarations } from "@lentilspur/declarations/validate";
import { hashCredential } from "./commands/credential.ts";
import { readDeclarationFiles } from "./declaration_files.ts";

const PLAYGROUND = new URL("../../../playground/", import.meta.url);

for (const deployment of ["abay", "sautiba"]) {
  test(`the declarations of ${deployment} are valid`, async () => {
    const directory = fileURLToPath(new URL(deployment, PLAYGROUND));
    const files = await readDeclarationFiles(directory);
    assert.ok(files.ok, String(files.val));
    const result = validateDeclarations(files.val);
    assert.ok(result.ok, JSON.stringify(result.val));
    assert.equal(result.val.templates.length, 3);
  });

  test(`the example credentials of ${deployment} match their digests`, async () => {
    const directory = fileURLToPath(new URL(deployment, PLAYGROUND));
    const files = await readDeclarationFiles(directory);
    assert.ok(files.ok, String(files.val));
    const accounts = files.val
      .filter(({ text }) => text.includes("kind: ClientAccount"));
    assert.ok(accounts.length > 0);
    for (const { name, text } of accounts) {
      const credential = /Credential of this example: (\S+)/.exec(text)?.[1];
      assert.ok(text.includes(hashCredential(credential ?? "")), name);
    }
  });
}
