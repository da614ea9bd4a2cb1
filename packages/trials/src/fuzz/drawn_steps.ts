/** Steps drawn at random; those that lead to deep states come up more often. */
import fc from "fast-check";
import { KEYS } from "./cluster_trial.ts";
import { LOG_FAULTS, type Step, WAYS } from "./step.ts";

const index = fc.nat(3);
const steps = {
  advance: fc.record({
    kind: fc.constant("advance" as const),
    // Around the lease, the renewals, the grants and the suspicion.
    ms: fc.constantFrom(1, 5, 50, 200, 600, 1_100, 1_900, 2_300, 3_500, 7_000),
  }),
  send: fc.record({
    kind: fc.constant("send" as const),
    via: index,
    key: fc.constantFrom(...KEYS),
    idempotent: fc.boolean(),
    isMintedBefore: fc.boolean(),
  }),
  resend: fc.record({
    kind: fc.constant("resend" as const),
    via: index,
    back: fc.nat(3),
  }),
  pause: fc.record({
    kind: fc.constantFrom(
      "pause" as const,
      "pause-at-call" as const,
      "resume" as const,
      "crash" as const,
      "stop" as const,
      "lose-peer-answers" as const,
    ),
    instance: index,
  }),
  start: fc.constant({ kind: "start" as const }),
  isolate: fc.record({
    kind: fc.constant("isolate" as const),
    instance: index,
    isIsolated: fc.boolean(),
  }),
  cut: fc.record({
    kind: fc.constant("cut" as const),
    left: index,
    right: index,
    isCut: fc.boolean(),
  }),
  logDown: fc.record({
    kind: fc.constant("log-down" as const),
    isDown: fc.boolean(),
  }),
  logLink: fc.record({
    kind: fc.constant("log-link" as const),
    instance: index,
    fault: fc.constantFrom(...LOG_FAULTS),
  }),
  way: fc.record({
    kind: fc.constant("target-way" as const),
    instance: index,
    target: index,
    way: fc.constantFrom(...WAYS),
  }),
  answers: fc.record({
    kind: fc.constant("target-answers-lost" as const),
    instance: index,
    target: index,
  }),
  target: fc.record({
    kind: fc.constantFrom(
      "freeze" as const,
      "thaw" as const,
      "target-stop" as const,
      "target-start" as const,
      "leaving" as const,
    ),
    target: index,
  }),
  lie: fc.record({
    kind: fc.constant("lie" as const),
    target: index,
    load: fc.nat(9),
  }),
  shed: fc.record({
    kind: fc.constant("shed" as const),
    target: index,
    sheds: fc.boolean(),
  }),
  lag: fc.record({
    kind: fc.constant("list-lag" as const),
    ms: fc.constantFrom(0, 3_000, 20_000),
  }),
  list: fc.record({
    kind: fc.constant("list-down" as const),
    isDown: fc.boolean(),
  }),
  publish: fc.constant({ kind: "publish-twice" as const }),
};

export const drawnStep: fc.Arbitrary<Step> = fc.oneof(
  { weight: 12, arbitrary: steps.advance },
  { weight: 14, arbitrary: steps.send },
  { weight: 5, arbitrary: steps.resend },
  { weight: 6, arbitrary: steps.pause },
  { weight: 2, arbitrary: steps.start },
  { weight: 2, arbitrary: steps.isolate },
  { weight: 1, arbitrary: steps.cut },
  { weight: 1, arbitrary: steps.logDown },
  { weight: 3, arbitrary: steps.logLink },
  { weight: 3, arbitrary: steps.way },
  { weight: 1, arbitrary: steps.answers },
  { weight: 4, arbitrary: steps.target },
  { weight: 1, arbitrary: steps.lie },
  { weight: 1, arbitrary: steps.shed },
  { weight: 1, arbitrary: steps.lag },
  { weight: 1, arbitrary: steps.list },
  { weight: 1, arbitrary: steps.publish },
);
