import assert from "node:assert/strict";
import { test } from "node:test";
import { createKeyTable } from "@lentilspur/ownership/key_table";
import { KeyDirectory } from "./key_directory.ts";

test("a table that a restored store shows does not replace a newer one", () => {
  const directory = new KeyDirectory();
  const createTable = (id: string, token: number) =>
    createKeyTable([{ id, address: `${id}:80` }], token);
  directory.setTable("files", createTable("b", 25), { offset: 25, nowMs: 0 });
  directory.setTable("files", createTable("a", 15), { offset: 1e10, nowMs: 1 });
  const owner = directory.findOwner("files", 7);
  assert.ok(owner.kind === "owned" && owner.owner.id === "b");
  directory.setTable("files", createTable("c", 26), { offset: 30, nowMs: 2 });
  const next = directory.findOwner("files", 7);
  assert.ok(next.kind === "owned" && next.owner.id === "c");
});
