/**
 * Model commands over the fold. Three folds run side by side: one goes on, one
 * is rebuilt from checkpoints, one is an independent replica. All must agree
 * after every record, and every step must keep the rules.
 */
import assert from "node:assert/strict";
import fc from "fast-check";
import type { Envelope } from "@lentilspur/state/entries";
import { parseEnvelope } from "@lentilspur/state/entry_schema";
import { Fold } from "@lentilspur/state/fold";
import {
  createTemplate,
  drawnAuthor,
  type DrawnEntry,
  drawnEntry,
  INSTANCES,
  KEYS,
  TARGETS,
  TEMPLATES,
} from "./fold_entries.ts";
import { createOutcome, type FuzzOutcome } from "./fuzz_outcome.ts";
import {
  collectImage,
  findBrokenRule,
  findIndexFault,
  type FoldImage,
} from "./fold_rules.ts";

/** The fold under test and its two replicas. */
export interface FoldReal {
  readonly fold: Fold;
  readonly replica: Fold;
  restored: Fold;
  readonly payloads: string[];
}

/** What the rules remember between two records. */
export interface FoldModel {
  image: FoldImage;
  readonly tokens: Set<number>;
}

export type MakeFold = () => Fold;

/** From a checkpoint, or from all payloads so far. */
export type MakeRestored = (
  checkpoint: string,
  payloads: readonly string[],
) => Fold;

export function createFoldPair(
  makeFold: MakeFold,
): { readonly model: FoldModel; readonly real: FoldReal } {
  const real = {
    fold: makeFold(),
    replica: makeFold(),
    restored: makeFold(),
    payloads: [],
  };
  const model = {
    image: collectImage(real.fold, KEYS),
    tokens: new Set<number>(),
  };
  applyPayload(createFirstPayload(), model, real);
  return { model, real };
}

/** Both templates, two members, two targets, and one shard with its owner. */
function createFirstPayload(): string {
  const join = (id: string, guardians: readonly string[]) => ({
    kind: "instance-joined",
    instance: {
      id,
      peerAddress: "127.0.0.1:1",
      httpAddress: "127.0.0.1:2",
      dataCentre: "Bole",
    },
    guardians,
  });
  return JSON.stringify({
    id: "first",
    author: "a",
    entries: [
      {
        kind: "configuration-published",
        expectedVersion: 0,
        changes: TEMPLATES.map((name) => ({
          kind: "template",
          name,
          content: createTemplate(name, 2),
        })),
        operator: "abebe",
      },
      join("a", []),
      join("b", ["a"]),
      ...TARGETS.slice(0, 2).map((id) => ({
        kind: "target-joined",
        target: {
          id,
          address: "127.0.0.1:3",
          dataCentre: "Bole",
          template: TEMPLATES[0],
          checksGrants: id === TARGETS[0],
        },
        steward: INSTANCES[0],
      })),
      {
        kind: "units-assigned",
        template: TEMPLATES[0],
        units: [{ unit: "s:0", to: TARGETS[0] }],
      },
    ],
  });
}

/** Folds one payload on all three and checks everything after it. */
export function applyPayload(
  payload: string,
  model: FoldModel,
  real: FoldReal,
): void {
  const offset = real.payloads.length;
  real.payloads.push(payload);
  const verdicts = real.fold.apply(offset, payload);
  assert.deepEqual(real.replica.apply(offset, payload), verdicts);
  assert.deepEqual(real.restored.apply(offset, payload), verdicts);
  const envelope = parseEnvelope(payload);
  const after = collectImage(real.fold, KEYS);
  const fault = findBrokenRule(model.image, after, { envelope, verdicts }) ??
    findIndexFault(real.fold) ?? findTokenFault(model, verdicts);
  assert.equal(fault, undefined, fault);
  model.image = after;
}

function findTokenFault(
  model: FoldModel,
  verdicts: ReturnType<Fold["apply"]>,
): string | undefined {
  for (const verdict of verdicts) {
    if (verdict.kind !== "accepted") {
      continue;
    }
    if (model.tokens.has(verdict.position)) {
      return `position ${verdict.position} was given twice`;
    }
    model.tokens.add(verdict.position);
  }
  return undefined;
}

class AppendCommand implements fc.Command<FoldModel, FoldReal> {
  readonly #author: string;
  readonly #entries: readonly DrawnEntry[];

  constructor(author: string, entries: readonly DrawnEntry[]) {
    this.#author = author;
    this.#entries = entries;
  }

  check(): boolean {
    return true;
  }

  run(model: FoldModel, real: FoldReal): void {
    const envelope: Envelope = {
      id: `${this.#author}#${real.payloads.length}`,
      author: this.#author,
      entries: this.#entries.map(({ make }) => make(real.fold, this.#author)),
    };
    applyPayload(JSON.stringify(envelope), model, real);
  }

  toString(): string {
    const entries = this.#entries.map(({ describe }) => describe).join("; ");
    return `append by ${this.#author}: ${entries}`;
  }
}

/** An append whose answer was lost, made again. */
class RepeatCommand implements fc.Command<FoldModel, FoldReal> {
  readonly #back: number;

  constructor(back: number) {
    this.#back = back;
  }

  check(): boolean {
    return true;
  }

  run(model: FoldModel, real: FoldReal): void {
    const payload = real.payloads.at(-1 - this.#back);
    if (payload === undefined) {
      return;
    }
    const before = model.image;
    applyPayload(payload, model, real);
    assert.deepEqual(
      model.image,
      before,
      "a repeated append changed the state",
    );
  }

  toString(): string {
    return `append the record ${this.#back} back again`;
  }
}

class GarbageCommand implements fc.Command<FoldModel, FoldReal> {
  readonly #payload: string;

  constructor(payload: string) {
    this.#payload = payload;
  }

  check(): boolean {
    return true;
  }

  run(model: FoldModel, real: FoldReal): void {
    applyPayload(this.#payload, model, real);
  }

  toString(): string {
    return `append the text ${JSON.stringify(this.#payload)}`;
  }
}

/** A new instance starts from a checkpoint of one that went on. */
class RestoreCommand implements fc.Command<FoldModel, FoldReal> {
  readonly #makeRestored: MakeRestored;

  constructor(makeRestored: MakeRestored) {
    this.#makeRestored = makeRestored;
  }

  check(): boolean {
    return true;
  }

  run(_model: FoldModel, real: FoldReal): void {
    const text = real.fold.serialize();
    assert.equal(real.replica.serialize(), text, "two replicas diverged");
    assert.equal(real.restored.serialize(), text, "a restored fold diverged");
    real.restored = this.#makeRestored(text, real.payloads);
    assert.equal(
      real.restored.serialize(),
      text,
      "a checkpoint lost something",
    );
  }

  toString(): string {
    return "restore from a checkpoint";
  }
}

export interface FoldFuzzOptions {
  readonly seed: number;
  readonly runs: number;
  readonly makeFold?: MakeFold;
  readonly makeRestored?: MakeRestored;
}

/** Records in one run, at most; deep enough for a key to go and come back. */
const MAX_COMMANDS = 60;

export function runFoldFuzz(options: FoldFuzzOptions): FuzzOutcome {
  const makeFold = options.makeFold ?? (() => new Fold());
  const makeRestored = options.makeRestored ??
    ((text: string) => Fold.restore(text));
  const commands = fc.commands([
    fc.tuple(drawnAuthor, fc.array(drawnEntry, { minLength: 1, maxLength: 3 }))
      .map(([author, entries]) => new AppendCommand(author, entries)),
    fc.tuple(drawnAuthor, drawnEntry)
      .map(([author, entry]) => new AppendCommand(author, [entry])),
    fc.tuple(drawnAuthor, drawnEntry)
      .map(([author, entry]) => new AppendCommand(author, [entry])),
    fc.nat(5).map((back) => new RepeatCommand(back)),
    fc.oneof(fc.string(), fc.json()).map((text) => new GarbageCommand(text)),
    fc.constant(new RestoreCommand(makeRestored)),
  ], { maxCommands: MAX_COMMANDS, size: "max" });
  const property = fc.property(commands, (drawn) => {
    fc.modelRun(() => createFoldPair(makeFold), drawn);
  });
  return createOutcome(
    fc.check(property, { seed: options.seed, numRuns: options.runs }),
  );
}
