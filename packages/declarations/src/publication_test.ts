import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createPublication,
  decodePublishedRouting,
  EMPTY_PUBLICATION,
  parsePublication,
  serializePublication,
} from "./publication.ts";
import { validateDeclarations } from "./validate.ts";

const TEXT = `kind: Template
name: case-files
shardCount: 64
deadlines: { default: 500ms, max: 2s }
limits: { maxBody: 16KiB, maxQueueTime: 300ms, maxQueuedPerTarget: 8 }
retry: { budgetRatio: 0.2, maxAttempts: 3 }
routes:
  - { method: GET, path: "/case-files/{key}", idempotent: true }
  - { method: POST, path: "/case-files/{key}/demands", idempotent: false }
---
kind: ClientAccount
name: nile
credentialDigests: ["sha256:${"ab".repeat(32)}"]
templates:
  - { template: case-files, rate: 20/s, burst: 7, weight: 2 }
`;

const CONFIGURATION = validateDeclarations([{ name: "all.yaml", text: TEXT }])
  .unwrap();
const NOTE = {
  id: "publication/a/b",
  operator: "neema",
  publishedAt: "2026-01-01T00:00:00.000Z",
  changes: ["+ template case-files"],
};

test("a published configuration decodes to the matching routing table", () => {
  const publication = createPublication(EMPTY_PUBLICATION, CONFIGURATION, NOTE);
  const table = decodePublishedRouting(serializePublication(publication))
    .unwrap();
  assert.equal(table.version, 1);
  const [read, lodge] = table.routes;
  assert.deepEqual(read!.match, {
    kind: "pattern",
    method: "GET",
    segments: ["case-files", null],
  });
  assert.deepEqual([read!.idempotent, lodge!.idempotent], [true, false]);
  assert.deepEqual(
    [read!.timeoutMs, read!.defaultDeadlineMs, read!.maxWaitMs],
    [2_000, 500, 300],
  );
  assert.equal(read!.maxAttempts, 3);
  assert.equal(read!.maxBodyBytes, 16_384);
  assert.deepEqual(table.services.get("case-files"), {
    name: "case-files",
    keyed: true,
    maxConnections: 130,
    retryRatio: 0.2,
    maxWaitingPerTarget: 8,
  });
  assert.ok(table.access.kind === "accounts");
  const [account] = table.access.clientAccounts;
  assert.deepEqual(account!.allowances.get("case-files"), {
    weight: 2,
    requestsPerSecond: 20,
    burst: 7,
    maxConcurrent: 32,
  });
});

test("versions increase by one and only the last 20 notes are kept", () => {
  let publication = EMPTY_PUBLICATION;
  for (let count = 0; count < 30; count++) {
    publication = createPublication(publication, CONFIGURATION, NOTE);
  }
  assert.equal(publication.version, 30);
  assert.equal(publication.notes.length, 20);
  assert.equal(publication.notes.at(-1)!.version, 30);
});

test("text that is not a publication is rejected", () => {
  for (const text of ["{", "null", "{}", '{"version":0}']) {
    assert.ok(!parsePublication(text).ok, text);
  }
});
