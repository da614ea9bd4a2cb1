/**
 * The judgement must bite: each test defeats one guard, through the ports of a
 * trial and nowhere else, and the facts that the guard holds up must be called
 * violated. The same steps with the guard in place are called honest.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Err, Ok } from "@lentilspur/outcomes/result";
import type { LogPort, LogRecord } from "@lentilspur/ports/log";
import type { TargetAnswer, TargetPort } from "@lentilspur/ports/target";
import { DEFAULT_TIMING } from "@lentilspur/router/settings";
import type { ClusterOptions } from "../cluster/fake_cluster.ts";
import { replaySteps } from "./cluster_fuzz.ts";
import { listFaults } from "./cluster_judgement.ts";
import type { Step } from "./step.ts";

interface BrokenGuard {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly options: ClusterOptions;
  /** What the judgement says of it. */
  readonly symptom: RegExp;
}

function advance(ms: number): Step {
  return { kind: "advance", ms };
}

function makeBooking(via: number, key: string): Step {
  return { kind: "send", via, key, idempotent: false, isMintedBefore: true };
}

/** All other calls go through as they are. */
function createTargetPort(
  port: TargetPort,
  dispatch: TargetPort["dispatch"],
): TargetPort {
  return {
    dispatch,
    grant: (target, request) => port.grant(target, request),
    probe: (target) => port.probe(target),
    cancel: (target, requestId) => port.cancel(target, requestId),
  };
}

/** Reports a lost answer as proof that nothing ran. */
const LOST_MEANS_NOT_RUN: ClusterOptions = {
  ports: {
    targets: (port) =>
      createTargetPort(port, async (target, request, signal) => {
        const result = await port.dispatch(target, request, signal);
        return result.ok || result.val.kind === "not-run" ? result : Err({
          kind: "not-run",
          cause: "unreachable",
          message: "The connection was closed",
        });
      }),
  },
};

/** Gives each caller the answer to the request before its own. */
function createMixedAnswers(): ClusterOptions {
  let earlier: TargetAnswer | undefined;
  return {
    ports: {
      targets: (port) =>
        createTargetPort(port, async (target, request, signal) => {
          const result = await port.dispatch(target, request, signal);
          if (!result.ok) {
            return result;
          }
          const given = earlier ?? result.val;
          earlier = result.val;
          return Ok(given);
        }),
    },
  };
}

/** Every send claims that nobody can have seen its id before. */
const EVERY_SEND_IS_FIRST: ClusterOptions = {
  ports: {
    peers: (port) => ({
      renew: (peer, request) => port.renew(peer, request),
      consent: (peer, request) => port.consent(peer, request),
      transfer: (peer, request) => port.transfer(peer, request),
      reportLoad: (peer, report) => port.reportLoad(peer, report),
      reportDemand: (peer, report) => port.reportDemand(peer, report),
      forward: (peer, request, signal) =>
        port.forward(peer, { ...request, firstSend: true }, signal),
    }),
  },
};

/** What is meant for one target reaches another one. */
const WRONG_TARGET: ClusterOptions = {
  ports: {
    targets: (port) =>
      createTargetPort(
        port,
        (_target, request, signal) =>
          port.dispatch({ id: "t2", address: "t2" }, request, signal),
      ),
  },
};

/** One instance does not see the second publication. */
function createForgetfulLog(instance: string): ClusterOptions {
  const forget = (record: LogRecord): LogRecord =>
    record.payload.includes('"expectedVersion":1')
      ? { ...record, payload: "unreadable" }
      : record;
  const makePort = (port: LogPort): LogPort => ({
    append: (stream, payload) => port.append(stream, payload),
    read: async (stream, fromOffset, options) => {
      const batch = await port.read(stream, fromOffset, options);
      return batch.ok
        ? Ok({ ...batch.val, records: batch.val.records.map(forget) })
        : batch;
    },
  });
  return {
    ports: { log: (port, id) => id === instance ? makePort(port) : port },
  };
}

/** The list never says that anything is leaving. */
const LIST_HIDES_LEAVING: ClusterOptions = {
  ports: {
    instanceList: (port) => ({
      list: async () => {
        const listed = await port.list();
        return listed.ok
          ? Ok(listed.val.map((each) => ({ ...each, state: "live" as const })))
          : listed;
      },
    }),
  },
};

const GUARDS: readonly BrokenGuard[] = [
  {
    name: "a holder that takes its lease for longer than its guardians do",
    symptom: /two-stewards/,
    options: {
      timing: { ...DEFAULT_TIMING, leaseMarginMs: -20_000 },
    },
    steps: [
      { kind: "isolate", instance: 3, isIsolated: true },
      { kind: "log-link", instance: 3, fault: "cut" },
      advance(7_000),
      makeBooking(0, "room-2"),
      advance(600),
      makeBooking(3, "room-2"),
      advance(600),
    ],
  },
  {
    name: "a resend that passes for a first send",
    symptom: /at-most-once/,
    options: EVERY_SEND_IS_FIRST,
    steps: [
      makeBooking(0, "room-2"),
      advance(600),
      { kind: "crash", instance: 3 },
      advance(7_000),
      { kind: "resend", via: 0, back: 0 },
      advance(1_100),
      { kind: "resend", via: 1, back: 0 },
      advance(1_100),
      { kind: "resend", via: 2, back: 0 },
      advance(1_100),
    ],
  },
  {
    name: "a lost answer that passes for proof",
    symptom: /not-run-is-true/,
    options: LOST_MEANS_NOT_RUN,
    steps: [
      { kind: "target-answers-lost", instance: 1, target: 1 },
      makeBooking(1, "room-3"),
      advance(3_500),
    ],
  },
  {
    name: "answers that reach another caller",
    symptom: /whole-answer/,
    options: createMixedAnswers(),
    steps: [
      makeBooking(0, "room-1"),
      advance(50),
      makeBooking(1, "room-1"),
      advance(50),
    ],
  },
  {
    name: "a request that reaches another target than the owner",
    symptom: /sole-owner/,
    options: WRONG_TARGET,
    steps: [makeBooking(0, "room-2"), advance(600)],
  },
  {
    name: "an instance that lost the record of a publication",
    symptom: /configuration-in-force/,
    options: createForgetfulLog("instance-2"),
    steps: [
      { kind: "publish-twice" },
      makeBooking(1, "room-1"),
      advance(7_000),
      makeBooking(1, "room-1"),
      advance(600),
    ],
  },
  {
    name: "a list that hides who is leaving",
    symptom: /leaving-target-spared/,
    options: LIST_HIDES_LEAVING,
    steps: [
      { kind: "leaving", target: 0 },
      advance(7_000),
      makeBooking(1, "room-1"),
      advance(600),
    ],
  },
];

for (const { name, steps, options, symptom } of GUARDS) {
  test(`the judgement notices ${name}`, async () => {
    const honest = listFaults(await replaySteps(steps));
    assert.deepEqual(honest, []);
    const broken = listFaults(await replaySteps(steps, options));
    assert.match(broken.join("\n"), symptom);
  });
}

test("the judgement notices a planned stop that cuts requests off", async () => {
  const trial = await replaySteps([makeBooking(2, "room-3"), advance(50)], {});
  assert.deepEqual(listFaults(trial), []);
  const cut = await replaySteps([
    { kind: "stop", instance: 2 },
    advance(3_500),
  ]);
  // The process ends while a caller waits, and the log says that it left.
  cut.cluster.sent.push({
    through: "instance-3",
    key: "room-3",
    idempotent: false,
    requestId: "0-1-cut.1",
    sentAtMs: cut.cluster.clock.readMs(),
    answeredAtMs: null,
    answer: null,
  });
  assert.match(listFaults(cut).join("\n"), /planned-stop-cuts-nothing/);
});
