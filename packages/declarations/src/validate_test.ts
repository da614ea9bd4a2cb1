import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type DeclarationFault,
  formatDeclarationFault,
} from "./declaration_fault.ts";
import { validateDeclarations } from "./validate.ts";
import { listWarnings } from "./warnings.ts";

const DIGEST = `sha256:${"ab".repeat(32)}`;

const TEMPLATE = `kind: Template
name: ledger
shardCount: 64
routes:
  - method: GET
    path: /ledger/{key}
    idempotent: true
deadlines:
  default: 500ms
  max: 2s
`;

const ACCOUNT = `kind: ClientAccount
name: nile
credentialDigests:
  - ${DIGEST}
templates:
  - template: ledger
    rate: 20/s
`;

function listFaults(...texts: readonly string[]): readonly DeclarationFault[] {
  const files = texts.map((text, index) => ({ name: `f${index}.yaml`, text }));
  const result = validateDeclarations(files);
  return result.ok ? [] : result.val;
}

test("resolves units and defaults of a valid declaration", () => {
  const result = validateDeclarations([
    { name: "all.yaml", text: `${TEMPLATE}---\n${ACCOUNT}` },
  ]);
  assert.ok(result.ok);
  const [template] = result.val.templates;
  assert.deepEqual(template?.deadlines, { defaultMs: 500, maxMs: 2_000 });
  assert.equal(template?.limits.maxBodyBytes, 65_536);
  const [account] = result.val.clientAccounts;
  assert.equal(account?.templates[0]?.requestsPerSecond, 20);
  assert.deepEqual(account?.credentialDigests, ["ab".repeat(32)]);
});

/** An edit that makes the text invalid, and the expected fault. */
interface Broken {
  readonly name: string;
  readonly from: string;
  readonly to: string;
  readonly path: string;
  readonly found: RegExp;
  /** Text of the line that the fault must point to. */
  readonly at: string;
}

const BROKEN: readonly Broken[] = [
  {
    name: "an unknown field",
    from: "  max: 2s",
    to: "  max: 2s\n  maximum: 2s",
    path: "deadlines.maximum",
    found: /unknown field "maximum"/,
    at: "  maximum: 2s",
  },
  {
    name: "a duration without a unit",
    from: "default: 500ms",
    to: "default: 500",
    path: "deadlines.default",
    found: /^500$/,
    at: "  default: 500",
  },
  {
    name: "a space before the unit",
    from: "default: 500ms",
    to: "default: 500 ms",
    path: "deadlines.default",
    found: /^"500 ms"$/,
    at: "  default: 500 ms",
  },
  {
    name: "a rate without a period",
    from: "rate: 20/s",
    to: "rate: 20",
    path: "templates[0].rate",
    found: /^20$/,
    at: "    rate: 20",
  },
  {
    name: "a reference to an undeclared template",
    from: "template: ledger",
    to: "template: leger",
    path: "templates[0].template",
    found: /"leger", which no document declares/,
    at: "  - template: leger",
  },
  {
    name: "two key segments",
    from: "/ledger/{key}",
    to: "/ledger/{key}/{key}",
    path: "routes[0].path",
    found: /\{key\}\/\{key\}/,
    at: "    path: /ledger/{key}/{key}",
  },
  {
    name: "no key segment",
    from: "/ledger/{key}",
    to: "/ledger",
    path: "routes[0].path",
    found: /"\/ledger"/,
    at: "    path: /ledger",
  },
  {
    name: "a path that instances serve themselves",
    from: "/ledger/{key}",
    to: "/metrics/{key}",
    path: "routes[0].path",
    found: /metrics/,
    at: "    path: /metrics/{key}",
  },
  {
    name: "a route without idempotent",
    from: "    idempotent: true\n",
    to: "",
    path: "routes[0].idempotent",
    found: /^nothing$/,
    at: "  - method: GET",
  },
  {
    name: "a shard count out of range",
    from: "shardCount: 64",
    to: "shardCount: 65537",
    path: "shardCount",
    found: /^65537$/,
    at: "shardCount: 65537",
  },
  {
    name: "a default deadline above the maximum",
    from: "default: 500ms",
    to: "default: 3s",
    path: "deadlines.default",
    found: /3000ms, more than/,
    at: "  default: 3s",
  },
  {
    name: "a second route that overlaps the first",
    from: "    idempotent: true\n",
    to:
      "    idempotent: true\n  - method: GET\n    path: /ledger/{key}\n    idempotent: false\n",
    path: "routes[1].path",
    found: /can match the same request as GET \/ledger\/\{key\}/,
    at: "    path: /ledger/{key}",
  },
  {
    name: "an unknown kind",
    from: "kind: ClientAccount",
    to: "kind: Client",
    path: "kind",
    found: /^"Client"$/,
    at: "kind: Client",
  },
  {
    name: "a duplicate field",
    from: "shardCount: 64",
    to: "shardCount: 64\nshardCount: 32",
    path: "",
    found: /a syntax error/,
    at: "shardCount: 32",
  },
];

for (const broken of BROKEN) {
  test(`rejects ${broken.name} and reports its line`, () => {
    const valid = `${TEMPLATE}---\n${ACCOUNT}`;
    const text = valid.replace(broken.from, broken.to);
    assert.notEqual(text, valid);
    const fault = listFaults(text)
      .find(({ path, found }) =>
        path === broken.path && broken.found.test(found)
      );
    assert.ok(fault, JSON.stringify(listFaults(text)));
    assert.equal(text.split("\n")[fault.line - 1], broken.at);
  });
}

test("rejects the same name in two files and reports the first location", () => {
  const [fault] = listFaults(TEMPLATE, TEMPLATE.replace("/ledger/", "/other/"));
  assert.equal(
    fault && formatDeclarationFault(fault),
    'f1.yaml:2:7: name: found a second Template "ledger"; expected one document per name; the first is at f0.yaml:2',
  );
});

test("rejects routes of two templates that can match the same request", () => {
  const other = TEMPLATE.replace("name: ledger", "name: other")
    .replace("/ledger/{key}", "/ledger/x");
  const [fault] = listFaults(TEMPLATE, other.replace("/x", "/{key}"));
  assert.equal(fault?.file, "f1.yaml");
  assert.match(fault?.found ?? "", /of template "ledger" at f0\.yaml:6/);
});

test("accepts overlapping paths with different methods", () => {
  const other = TEMPLATE.replace("name: ledger", "name: other")
    .replace("method: GET", "method: POST");
  assert.deepEqual(listFaults(TEMPLATE, other), []);
});

test("does not quote a value that may be a credential in clear text", () => {
  // An operator pastes the credential in place of its digest. The fault is
  // printed in build logs that many people can read.
  const faults = listFaults(
    TEMPLATE,
    ACCOUNT.replace(DIGEST, "hunter2-hunter2"),
  );
  assert.equal(faults.length, 1);
  assert.doesNotMatch(JSON.stringify(faults), /hunter2/);
  assert.match(faults[0]?.allowed ?? "", /lentilspur credential/);
});

test("rejects a credential that two client accounts share", () => {
  const [fault] = listFaults(
    TEMPLATE,
    ACCOUNT,
    ACCOUNT.replace("name: nile", "name: awash"),
  );
  assert.equal(fault?.found, "the same digest as at f1.yaml:4");
});

test("rejects a shard count other than the published one", () => {
  const published = validateDeclarations([{ name: "a", text: TEMPLATE }]);
  assert.ok(published.ok);
  const files = [{
    name: "a",
    text: TEMPLATE.replace("shardCount: 64", "shardCount: 128"),
  }];
  const result = validateDeclarations(files, published.val);
  assert.ok(!result.ok);
  assert.equal(result.val[0]?.line, 3);
  assert.match(result.val[0]?.allowed ?? "", /^64, which is in force/);
});

test("reports the faults of all files together, in order", () => {
  const faults = listFaults(
    TEMPLATE.replace("64", "many"),
    "kind: [",
    ACCOUNT.replace("20/s", "20"),
  );
  assert.deepEqual(
    [...new Set(faults.map(({ file }) => file))],
    ["f0.yaml", "f1.yaml", "f2.yaml"],
  );
});

test("rejects anchors and aliases", () => {
  const [fault] = listFaults(
    `${TEMPLATE}limits:\n  maxBody: &size 1KiB\n  maxAnswer: *size\n`,
  );
  assert.equal(fault?.found, "an anchor or alias");
  assert.equal(fault?.line, 12);
});

test("warns about a non-idempotent GET and an unused template", () => {
  const text = TEMPLATE.replace("idempotent: true", "idempotent: false");
  const result = validateDeclarations([{ name: "a.yaml", text }]);
  assert.ok(result.ok);
  const warnings = listWarnings(result.val).map((line) => line.slice(0, 40));
  assert.deepEqual(warnings, [
    'Template "ledger" declares GET /ledger/{',
    'No client account may use template "ledg',
  ]);
});
