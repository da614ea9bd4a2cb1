import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { parseEnvelope } from "@lentilspur/state/entry_schema";
import { Fold } from "@lentilspur/state/fold";
import { EXIT_CODES } from "./exit_codes.ts";
import {
  FakePlatform,
  makeDirectory,
  STREAM,
  Terminal,
} from "./testing/fake_terminal.ts";

const SEED = 20_261_202;
/** Longer than any append of these runs is late. */
const SETTLED_MS = 120_000;

interface Attempt {
  readonly limit: number;
  /** How far the expected version lags behind the one in force. */
  readonly lag: number;
  readonly faults: {
    readonly lostAnswers: number;
    readonly lostAppends: number;
    readonly lateAppends: number;
    readonly lateByMs: number;
  };
}

/** What an operator was told of one attempt, and how to ask again. */
interface Told {
  readonly operator: string;
  readonly directory: string;
  readonly expectedVersion: number;
  readonly code: number;
  readonly output: string;
}

const attempts: fc.Arbitrary<readonly Attempt[]> = fc.array(
  fc.record({
    limit: fc.integer({ min: 1, max: 4 }),
    lag: fc.constantFrom(0, 0, 0, 1),
    faults: fc.record({
      lostAnswers: fc.constantFrom(0, 0, 1, 50),
      lostAppends: fc.constantFrom(0, 0, 1, 50),
      lateAppends: fc.constantFrom(0, 0, 1, 8),
      lateByMs: fc.integer({ min: 0, max: 60_000 }),
    }),
  }),
  { minLength: 1, maxLength: 5 },
);

/** The oracle: who published what, by the log alone. */
function listAccepted(platform: FakePlatform): ReadonlyMap<string, number> {
  const fold = new Fold();
  const accepted = new Map<string, number>();
  for (const { offset, payload } of platform.log.listRecords(STREAM)) {
    const [verdict] = fold.apply(offset, payload);
    const [entry] = parseEnvelope(payload)?.entries ?? [];
    if (
      verdict?.kind === "accepted" && entry?.kind === "configuration-published"
    ) {
      assert.ok(!accepted.has(entry.operator), `twice: ${entry.operator}`);
      accepted.set(entry.operator, entry.expectedVersion + 1);
    }
  }
  return accepted;
}

async function publishAttempt(
  platform: FakePlatform,
  attempt: Attempt,
  index: number,
): Promise<Told> {
  const terminal = new Terminal(platform);
  terminal.link.setFaults(attempt.faults);
  const version = listAccepted(platform).size;
  const told = {
    operator: `operator${index}`,
    directory: makeDirectory(attempt.limit),
    expectedVersion: Math.max(0, version - attempt.lag),
  };
  const code = await runPublish(terminal, told);
  return { ...told, code, output: terminal.takeOutput() };
}

function runPublish(
  terminal: Terminal,
  { operator, directory, expectedVersion }: Omit<Told, "code" | "output">,
  ...more: readonly string[]
): Promise<number> {
  return terminal.run(
    "publish",
    directory,
    "--log-url=http://127.0.0.1:1",
    `--operator=${operator}`,
    `--expect-version=${expectedVersion}`,
    ...more,
  );
}

/** Resumes what stayed unknown, over a log without faults. */
async function settleUnknown(
  platform: FakePlatform,
  told: Told,
): Promise<Told> {
  const id = /--resume (\S+);/.exec(told.output)?.[1];
  if (told.code !== EXIT_CODES.unknown || id === undefined) {
    return told;
  }
  const terminal = new Terminal(platform);
  const code = await runPublish(terminal, told, `--resume=${id}`);
  return { ...told, code, output: terminal.takeOutput() };
}

function isToldAccepted({ code, output }: Told): boolean {
  return code === EXIT_CODES.done && /is accepted at offset/.test(output);
}

test("what operators are told of their publications is what the log holds", async () => {
  // Several operators publish one after the other while the log loses appends,
  // loses answers, and lets appends take effect up to a minute late. Whoever is
  // told "accepted" has published once; whoever is told "refused" or "not
  // published" never does, not even later; whoever is told "unknown" learns
  // the truth by resuming.
  await fc.assert(
    fc.asyncProperty(attempts, async (drawn) => {
      const platform = new FakePlatform();
      const told: Told[] = [];
      for (const [index, attempt] of drawn.entries()) {
        told.push(await publishAttempt(platform, attempt, index));
      }
      const settled: Told[] = [];
      for (const each of told) {
        settled.push(await settleUnknown(platform, each));
      }
      await platform.clock.advance(SETTLED_MS);
      const accepted = listAccepted(platform);
      for (const each of settled) {
        assert.notEqual(each.code, EXIT_CODES.unknown, each.output);
        assert.equal(
          accepted.get(each.operator),
          isToldAccepted(each) ? each.expectedVersion + 1 : undefined,
          each.output,
        );
      }
    }),
    { seed: SEED, numRuns: 60 },
  );
});
