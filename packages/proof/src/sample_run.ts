/**
 * A small honest run with its log, lines, executions and answers. Tests plant
 * violations and gaps in it; nothing else uses it.
 */
import type { Template } from "@lentilspur/declarations/template";
import { makePosition, type Position } from "@lentilspur/outcomes/position";
import type { LogRecord } from "@lentilspur/ports/log";
import type { Entry, Envelope } from "@lentilspur/state/entries";
import type { Decision, DecisionLine } from "./decision_line.ts";
import type { CallerAnswer, TargetExecution } from "./evidence.ts";

export const SAMPLE_TEMPLATE: Template = {
  name: "deposits",
  routes: [
    { method: "POST", path: "/deposits/{key}", idempotent: false },
    { method: "GET", path: "/deposits/{key}", idempotent: true },
  ],
  shardCount: 1,
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

export interface SampleRun {
  readonly records: readonly LogRecord[];
  readonly lines: readonly DecisionLine[];
  readonly executions: readonly TargetExecution[];
  readonly answers: readonly CallerAnswer[];
}

/** Offsets of the sample's log; each record holds one entry. */
export const SAMPLE_OFFSETS = {
  published: 0,
  firstJoined: 1,
  secondJoined: 2,
  firstTarget: 3,
  secondTarget: 4,
  assigned: 5,
  moveStarted: 6,
  moveReleased: 7,
  targetLeaving: 8,
  secondPublished: 9,
} as const;

export const FIRST_TOKEN: Position = makePosition(SAMPLE_OFFSETS.assigned, 0);
export const SECOND_TOKEN: Position = makePosition(
  SAMPLE_OFFSETS.moveReleased,
  0,
);

/** Instance `a` stewards both targets; `b` joins and later leaves. */
function listSampleEntries(): readonly (readonly [string, Entry])[] {
  return [
    ["operator:neema", publishSample(0)],
    ["a", joinSample("a")],
    ["b", joinSample("b")],
    ["a", joinSampleTarget("t1")],
    ["a", joinSampleTarget("t2")],
    ["a", {
      kind: "units-assigned",
      template: "deposits",
      units: [{ unit: "s:0", to: "t1" }],
    }],
    ["a", {
      kind: "move-started",
      template: "deposits",
      unit: "s:0",
      expectedToken: FIRST_TOKEN,
      to: "t2",
      reason: "drain",
    }],
    ["a", {
      kind: "move-released",
      template: "deposits",
      unit: "s:0",
      moveToken: makePosition(SAMPLE_OFFSETS.moveStarted, 0),
    }],
    ["a", { kind: "target-leaving", target: "t1" }],
    ["operator:juma", publishSample(1)],
    ["b", { kind: "instance-left", instance: "b" }],
  ];
}

function publishSample(expectedVersion: number): Entry {
  return {
    kind: "configuration-published",
    expectedVersion,
    changes: [{
      kind: "template",
      name: SAMPLE_TEMPLATE.name,
      content: SAMPLE_TEMPLATE,
    }],
    operator: expectedVersion === 0 ? "neema" : "juma",
  };
}

function joinSample(id: string): Entry {
  const instance = {
    id,
    peerAddress: "127.0.0.1:1",
    httpAddress: "127.0.0.1:2",
    dataCentre: "Upanga",
  };
  return { kind: "instance-joined", instance, guardians: [] };
}

function joinSampleTarget(id: string): Entry {
  const target = {
    id,
    address: "127.0.0.1:3",
    dataCentre: "Upanga",
    template: "deposits",
    checksGrants: true,
  };
  return { kind: "target-joined", target, steward: "a" };
}

/** Writes lines as one instance does: one sequence, one growing clock. */
export class LineWriter {
  readonly #instance: string;
  #sequence = 0;

  constructor(instance: string) {
    this.#instance = instance;
  }

  create(
    decision: Decision,
    at: { readonly elapsedMs: number; readonly foldedOffset: number },
  ): DecisionLine {
    const sequence = this.#sequence++;
    return {
      ...decision,
      instance: this.#instance,
      sequence,
      elapsedMs: at.elapsedMs,
      time: new Date(SAMPLE_START + at.elapsedMs).toISOString(),
      foldedOffset: at.foldedOffset,
    };
  }
}

const SAMPLE_START = Date.UTC(2026, 0, 31, 12);

export const SAMPLE_SUBJECT = {
  requestId: "0-1-a.1",
  clientAccount: "broadcaster-1",
  template: "deposits",
  key: "booking-7",
  idempotent: false,
} as const;

/** One deposit through `b`, run once on `t1`, and both versions in force. */
function listSampleLines(): readonly DecisionLine[] {
  const a = new LineWriter("a");
  const b = new LineWriter("b");
  const early = { elapsedMs: 100, foldedOffset: SAMPLE_OFFSETS.assigned + 1 };
  const late = { elapsedMs: 9_000, foldedOffset: 11 };
  return [
    a.create(describeInForce(1), early),
    b.create(describeInForce(1), early),
    b.create({
      ...SAMPLE_SUBJECT,
      decision: "request-routed",
      unit: "s:0",
      target: "t1",
      steward: "a",
      firstSend: true,
    }, early),
    a.create(describeDispatch(), early),
    a.create(describeSettlement("ran"), early),
    b.create(describeAnswer("ran"), early),
    a.create(describeInForce(2), late),
    b.create(describeInForce(2), late),
  ];
}

export function describeInForce(version: number): Decision {
  const offset = version === 1
    ? SAMPLE_OFFSETS.published
    : SAMPLE_OFFSETS.secondPublished;
  return {
    decision: "configuration-in-force",
    version,
    position: makePosition(offset, 0),
  };
}

export function describeDispatch(
  target = "t1",
  unitToken = FIRST_TOKEN,
): Decision {
  const joined = target === "t1"
    ? SAMPLE_OFFSETS.firstTarget
    : SAMPLE_OFFSETS.secondTarget;
  return {
    ...SAMPLE_SUBJECT,
    decision: "request-dispatched",
    unit: "s:0",
    target,
    stewardToken: makePosition(joined, 0),
    unitToken,
    attempt: 1,
    queuedMs: 0,
  };
}

export function describeSettlement(
  outcome: "ran" | "not-run" | "unknown",
  target = "t1",
): Decision {
  return {
    ...SAMPLE_SUBJECT,
    decision: "request-settled",
    unit: "s:0",
    target,
    attempt: 1,
    outcome,
    ...(outcome === "ran" ? { status: 201 } : {}),
    tookMs: 5,
  };
}

export function describeAnswer(
  outcome: "ran" | "not-run" | "unknown",
): Decision {
  return {
    ...SAMPLE_SUBJECT,
    decision: "request-answered",
    outcome,
    status: outcome === "ran" ? 201 : 503,
    ...(outcome === "ran" ? {} : { errorKind: "queue-full" as const }),
    tookMs: 6,
  };
}

export const SAMPLE_EXECUTION: TargetExecution = {
  ...SAMPLE_SUBJECT,
  target: "t1",
  bootId: "boot-1",
  sequence: 0,
  unit: "s:0",
  unitToken: FIRST_TOKEN,
  stewardToken: makePosition(SAMPLE_OFFSETS.firstTarget, 0),
  answerDigest: "d1",
  startedAtMs: 102,
  endedAtMs: 104,
};

export const SAMPLE_ANSWER: CallerAnswer = {
  ...SAMPLE_SUBJECT,
  outcome: "ran",
  status: 201,
  answerDigest: "d1",
  instance: "b",
  sentAtMs: 100,
  receivedAtMs: 106,
};

export function createSampleRun(): SampleRun {
  return {
    records: listSampleEntries().map(([author, entry], offset) => {
      const envelope: Envelope = {
        id: `${author}#${offset}`,
        author,
        entries: [entry],
      };
      return { offset, payload: JSON.stringify(envelope) };
    }),
    lines: listSampleLines(),
    executions: [SAMPLE_EXECUTION],
    answers: [SAMPLE_ANSWER],
  };
}
