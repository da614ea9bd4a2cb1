import assert from "node:assert/strict";
import { test } from "node:test";
import type { Entry, Envelope } from "@lentilspur/state/entries";
import { parseEnvelope } from "@lentilspur/state/entry_schema";
import { Fold } from "@lentilspur/state/fold";
import { runFoldFuzz } from "./fold_commands.ts";

const SEEDS = [1, 2, 3];
const RUNS = 300;

for (const seed of SEEDS) {
  test(`the fold keeps its rules over drawn records, seed ${seed}`, () => {
    const outcome = runFoldFuzz({ seed, runs: RUNS });
    assert.ok(!outcome.failed, `${outcome.sequence}\n${outcome.error}`);
  });
}

/** A fold with one guard defeated: entries are changed so that they pass it. */
class BrokenFold extends Fold {
  readonly #breakEntry: (entry: Entry, fold: Fold) => Entry;
  readonly #breakAuthor: (envelope: Envelope, fold: Fold) => string;

  constructor(
    breakEntry: (entry: Entry, fold: Fold) => Entry,
    breakAuthor: (envelope: Envelope, fold: Fold) => string = ({ author }) =>
      author,
  ) {
    super();
    this.#breakEntry = breakEntry;
    this.#breakAuthor = breakAuthor;
  }

  override apply(offset: number, payload: string): ReturnType<Fold["apply"]> {
    const envelope = parseEnvelope(payload);
    if (envelope === undefined) {
      return super.apply(offset, payload);
    }
    const broken = {
      ...envelope,
      author: this.#breakAuthor(envelope, this),
      entries: envelope.entries.map((entry) => this.#breakEntry(entry, this)),
    };
    return super.apply(offset, JSON.stringify(broken));
  }
}

function findOwnerSteward({ author, entries }: Envelope, fold: Fold): string {
  const [entry] = entries;
  if (entry?.kind !== "move-released") {
    return author;
  }
  const owner = fold.getUnit(entry.template, entry.unit)?.owner;
  return fold.getTarget(owner ?? "")?.steward ?? author;
}

/** Gives each envelope a new id, so that a repeated append is not noticed. */
class ForgetfulFold extends Fold {
  #count = 0;

  override apply(offset: number, payload: string): ReturnType<Fold["apply"]> {
    const envelope = parseEnvelope(payload);
    const renamed = { ...envelope, id: `${this.#count++}` };
    return super.apply(
      offset,
      envelope === undefined ? payload : JSON.stringify(renamed),
    );
  }
}

function replayPayloads(
  makeFold: () => Fold,
  payloads: readonly string[],
): Fold {
  const fold = makeFold();
  payloads.forEach((payload, offset) => fold.apply(offset, payload));
  return fold;
}

interface BrokenGuard {
  readonly guard: string;
  /** One with which the guard's own symptom comes first. */
  readonly seed: number;
  readonly makeFold: () => Fold;
  /** What the rules say of it. */
  readonly symptom: RegExp;
}

const BROKEN: readonly BrokenGuard[] = [
  {
    guard: "anybody may release a unit",
    seed: 1,
    symptom: /without a release by its steward/,
    makeFold: () => new BrokenFold((entry) => entry, findOwnerSteward),
  },
  {
    guard: "anybody may take a target from its steward",
    seed: 3,
    symptom: /was taken from/,
    makeFold: () =>
      new BrokenFold((entry) => entry, ({ author, entries }, fold) => {
        const [entry] = entries;
        return entry?.kind === "steward-changed"
          ? fold.getTarget(entry.target)?.steward ?? author
          : author;
      }),
  },
  {
    guard: "a take-over needs no guardians",
    seed: 3,
    symptom: /was taken over with/,
    makeFold: () =>
      new BrokenFold((entry, fold) =>
        entry.kind === "instance-lost" && entry.evidence.kind === "guardians"
          ? {
            ...entry,
            evidence: {
              ...entry.evidence,
              consented: fold.getMember(entry.instance)?.guardians ?? [],
              waitedOut: [],
            },
          }
          : entry
      ),
  },
  {
    guard: "a repeated append acts again",
    seed: 3,
    symptom: /a repeated append changed the state/,
    makeFold: () => new ForgetfulFold(),
  },
];

for (const { guard, seed, makeFold, symptom } of BROKEN) {
  test(`the rules catch a fold in which ${guard}`, () => {
    const outcome = runFoldFuzz({
      seed,
      runs: 2_000,
      makeFold,
      makeRestored: (_checkpoint, payloads) =>
        replayPayloads(makeFold, payloads),
    });
    assert.ok(outcome.failed, "the rules did not notice");
    assert.match(outcome.error, symptom);
  });
}
