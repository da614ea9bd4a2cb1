/**
 * Entries drawn at random over a few names. Tokens are drawn as a choice and
 * resolved against the state when the entry is made, so that both preconditions
 * that hold and stale ones come up often, and shrink well.
 */
import fc from "fast-check";
import type { Template } from "@lentilspur/declarations/template";
import type {
  Entry,
  InstanceLossEvidence,
  TargetLossEvidence,
} from "@lentilspur/state/entries";
import type { StateView } from "@lentilspur/state/view";

export const INSTANCES = ["a", "b", "c", "d"] as const;
export const TARGETS = ["t1", "t2", "t3"] as const;
export const TEMPLATES = ["case-files", "demands"] as const;
export const KEYS = ["k1", "k2", "k3", "k4"] as const;
const UNITS = ["s:0", "s:1", "s:2", "k:k1", "k:k2", "k:k3"] as const;
const REASONS = ["balance", "hot-key", "hot-key-over", "drain"] as const;

/** How a precondition is filled in. */
type TokenChoice = "present" | "stale" | "none";

type MakeEntry = (view: StateView, author: string) => Entry;

export interface DrawnEntry {
  readonly describe: string;
  readonly make: MakeEntry;
}

const instance = fc.constantFrom(...INSTANCES);
const target = fc.constantFrom(...TARGETS);
const template = fc.constantFrom(...TEMPLATES);
const unit = fc.constantFrom(...UNITS);
const instances = fc.uniqueArray(instance, { maxLength: 3 });
const tokenChoice: fc.Arbitrary<TokenChoice> = fc.oneof(
  { weight: 8, arbitrary: fc.constant<TokenChoice>("present") },
  { weight: 1, arbitrary: fc.constant<TokenChoice>("stale") },
  { weight: 1, arbitrary: fc.constant<TokenChoice>("none") },
);
const placements = fc.array(fc.record({ unit, to: target }), { maxLength: 4 });

function resolveToken(
  choice: TokenChoice,
  present: number | undefined,
): number {
  switch (choice) {
    case "present":
      return present ?? -1;
    case "stale":
      return (present ?? 0) - 1;
    case "none":
      return -1;
  }
}

export function createTemplate(name: string, shardCount: number): Template {
  return {
    name,
    routes: [{ method: "POST", path: "/x/{key}", idempotent: false }],
    shardCount,
    placesPerTarget: 2,
    deadlines: { defaultMs: 1_000, maxMs: 2_000 },
    limits: {
      maxBodyBytes: 1_024,
      maxAnswerBytes: 1_024,
      maxQueuedPerTarget: 10,
      maxQueueMs: 500,
    },
    placement: { imbalance: 1, churn: 1, unservedTime: 1 },
    retry: { budgetRatio: 0.1, maxAttempts: 2 },
    maxHotKeys: 2,
    drainPriority: 0,
  };
}

function drawEntry<T>(
  fields: { [K in keyof T]: fc.Arbitrary<T[K]> },
  kind: Entry["kind"],
  make: (drawn: T, view: StateView, author: string) => Entry,
): fc.Arbitrary<DrawnEntry> {
  return fc.record(fields).map((drawn) => ({
    describe: `${kind} ${JSON.stringify(drawn)}`,
    make: (view, author) => make(drawn as T, view, author),
  }));
}

const published = drawEntry(
  {
    choice: tokenChoice,
    documents: fc.array(
      fc.record({
        name: template,
        shards: fc.constantFrom(2, 3),
        removed: fc.boolean(),
      }),
      { maxLength: 2 },
    ),
    account: fc.option(template),
  },
  "configuration-published",
  ({ choice, documents, account }, view) => ({
    kind: "configuration-published",
    expectedVersion: Math.max(
      0,
      resolveToken(choice, view.configurationVersion),
    ),
    changes: [
      ...documents.map(({ name, shards, removed }) => ({
        kind: "template" as const,
        name,
        content: removed ? null : createTemplate(name, shards),
      })),
      ...(account === null ? [] : [{
        kind: "clientAccount" as const,
        name: "member-1",
        content: {
          name: "member-1",
          credentialDigests: [],
          templates: [{
            template: account,
            weight: 1,
            requestsPerSecond: 1,
            burst: 1,
            maxConcurrent: 1,
          }],
        },
      }]),
    ],
    operator: "abebe",
  }),
);

const instanceJoined = drawEntry(
  { id: fc.option(instance), guardians: instances },
  "instance-joined",
  ({ id, guardians }, _view, author) => ({
    kind: "instance-joined",
    instance: {
      id: id ?? author,
      peerAddress: "127.0.0.1:1",
      httpAddress: "127.0.0.1:2",
      dataCentre: "Bole",
    },
    guardians,
  }),
);

const guardiansChanged = drawEntry(
  { id: instance, choice: tokenChoice, guardians: instances },
  "guardians-changed",
  ({ id, choice, guardians }, view) => ({
    kind: "guardians-changed",
    instance: id,
    expectedToken: resolveToken(choice, view.getMember(id)?.guardianToken),
    guardians,
  }),
);

const instanceLeft = drawEntry(
  { id: instance },
  "instance-left",
  ({ id }) => ({ kind: "instance-left", instance: id }),
);

const instanceLost = drawEntry(
  {
    id: instance,
    choice: tokenChoice,
    consented: instances,
    waitedOut: instances,
    byOperator: fc.boolean(),
    successors: fc.array(fc.record({ target, to: instance }), { maxLength: 3 }),
  },
  "instance-lost",
  (drawn, view) => {
    const evidence: InstanceLossEvidence = drawn.byOperator
      ? { kind: "operator", operator: "abebe" }
      : {
        kind: "guardians",
        guardianToken: resolveToken(
          drawn.choice,
          view.getMember(drawn.id)?.guardianToken,
        ),
        consented: drawn.consented,
        waitedOut: drawn.waitedOut,
      };
    return {
      kind: "instance-lost",
      instance: drawn.id,
      evidence,
      stewardships: drawn.successors,
    };
  },
);

const targetJoined = drawEntry(
  { id: target, template, steward: instance, checksGrants: fc.boolean() },
  "target-joined",
  (drawn) => ({
    kind: "target-joined",
    target: {
      id: drawn.id,
      address: "127.0.0.1:3",
      dataCentre: "Bole",
      template: drawn.template,
      checksGrants: drawn.checksGrants,
    },
    steward: drawn.steward,
  }),
);

const targetLeaving = drawEntry(
  { id: target, left: fc.boolean() },
  "target-leaving",
  ({ id, left }) => ({
    kind: left ? "target-left" : "target-leaving",
    target: id,
  }),
);

const targetLost = drawEntry(
  {
    id: target,
    choice: tokenChoice,
    evidence: fc.constantFrom<TargetLossEvidence>(
      { kind: "grants-lapsed" },
      { kind: "process-ended" },
      { kind: "restarted" },
      { kind: "operator", operator: "abebe" },
    ),
    reassigned: placements,
  },
  "target-lost",
  ({ id, choice, evidence, reassigned }, view) => ({
    kind: "target-lost",
    target: id,
    expectedStewardToken: resolveToken(
      choice,
      view.getTarget(id)?.stewardToken,
    ),
    evidence,
    reassigned,
  }),
);

const stewardChanged = drawEntry(
  { id: target, choice: tokenChoice, to: instance },
  "steward-changed",
  ({ id, choice, to }, view) => ({
    kind: "steward-changed",
    target: id,
    expectedToken: resolveToken(choice, view.getTarget(id)?.stewardToken),
    to,
  }),
);

const unitsAssigned = drawEntry(
  { template, units: placements },
  "units-assigned",
  ({ template, units }) => ({ kind: "units-assigned", template, units }),
);

const moveStarted = drawEntry(
  {
    template,
    unit,
    choice: tokenChoice,
    to: target,
    reason: fc.constantFrom(...REASONS),
  },
  "move-started",
  (drawn, view) => ({
    kind: "move-started",
    template: drawn.template,
    unit: drawn.unit,
    expectedToken: resolveToken(
      drawn.choice,
      findUnitToken(view, drawn.template, drawn.unit),
    ),
    to: drawn.to,
    reason: drawn.reason,
  }),
);

/** A hot key that is not listed yet is moved under its shard's token. */
function findUnitToken(
  view: StateView,
  template: string,
  unit: string,
): number | undefined {
  const listed = view.getUnit(template, unit)?.token;
  return listed ?? view.locateKey(template, unit.slice(2))?.unit.token;
}

const moveEnded = drawEntry(
  { template, unit, choice: tokenChoice, abandoned: fc.boolean() },
  "move-released",
  ({ template, unit, choice, abandoned }, view) => ({
    kind: abandoned ? "move-abandoned" : "move-released",
    template,
    unit,
    moveToken: resolveToken(choice, view.getUnit(template, unit)?.move?.token),
  }),
);

const epochAdvanced = drawEntry(
  { choice: tokenChoice },
  "epoch-advanced",
  ({ choice }, view) => ({
    kind: "epoch-advanced",
    expectedEpoch: Math.max(0, resolveToken(choice, view.epoch)),
  }),
);

/** Any entry; those that lead to deep states come up more often. */
export const drawnEntry: fc.Arbitrary<DrawnEntry> = fc.oneof(
  { weight: 3, arbitrary: published },
  { weight: 4, arbitrary: instanceJoined },
  { weight: 1, arbitrary: guardiansChanged },
  { weight: 1, arbitrary: instanceLeft },
  { weight: 2, arbitrary: instanceLost },
  { weight: 4, arbitrary: targetJoined },
  { weight: 2, arbitrary: targetLeaving },
  { weight: 2, arbitrary: targetLost },
  { weight: 2, arbitrary: stewardChanged },
  { weight: 5, arbitrary: unitsAssigned },
  { weight: 6, arbitrary: moveStarted },
  { weight: 6, arbitrary: moveEnded },
  { weight: 1, arbitrary: epochAdvanced },
);

/** Authors that fit the state come up most; any other may try. */
export const drawnAuthor: fc.Arbitrary<string> = fc.oneof(
  { weight: 9, arbitrary: instance },
  { weight: 1, arbitrary: fc.constant("operator:abebe") },
);
