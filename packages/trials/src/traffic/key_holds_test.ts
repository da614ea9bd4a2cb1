import assert from "node:assert/strict";
import { test } from "node:test";
import type { HoldChange } from "@lentilspur/ports/fake_target";
import { listHoldViolations } from "./key_holds.ts";

const HOLD_MS = 3_000;

function createGrant(target: string, token: number, atMs: number): HoldChange {
  return {
    kind: "granted",
    target,
    service: "files",
    from: 0,
    to: 99,
    token,
    atMs,
    untilMs: atMs + HOLD_MS,
  };
}

function listFound(
  changes: readonly HoldChange[],
  others: Partial<Parameters<typeof listHoldViolations>[0]> = {},
): number {
  const nothing = { exits: [], disturbances: [] };
  return listHoldViolations({ changes, ...nothing, ...others }).length;
}

test("finds a token that is not above an earlier holder's", () => {
  const changes = [createGrant("a", 25, 0), createGrant("b", 15, 5_000)];
  assert.equal(listFound(changes), 1);
});

test("finds two holders, unless the first released the keys or has ended", () => {
  const grants = [createGrant("a", 5, 0), createGrant("b", 6, 1_000)];
  const release: HoldChange = {
    ...createGrant("a", 6, 900),
    kind: "released",
    untilMs: 900,
  };
  assert.equal(listFound(grants), 1);
  assert.equal(listFound([...grants, release]), 0);
  assert.equal(
    listFound(grants, { exits: [{ target: "a", atMs: 800 }] }),
    0,
  );
});

test("a grant that was held up on its way does not count", () => {
  const changes = [createGrant("b", 6, 1_000), createGrant("a", 5, 1_500)];
  const disturbance = { target: "a", fromMs: 900, toMs: 2_000 };
  assert.equal(listFound(changes), 2);
  assert.equal(listFound(changes, { disturbances: [disturbance] }), 0);
});
