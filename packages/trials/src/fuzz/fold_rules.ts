/**
 * Rules that every step of the fold must keep, stated over two views, before
 * and after a record, without looking at how the fold decides.
 */
import type { Entry, Envelope, Verdict } from "@lentilspur/state/entries";
import type { StateView } from "@lentilspur/state/view";

export interface OwnedKey {
  readonly owner: string | null;
  readonly token: number;
}

export interface StewardedTarget {
  readonly steward: string | null;
  readonly token: number;
}

/** What the rules compare; a plain copy, since the fold changes in place. */
export interface FoldImage {
  readonly version: number;
  readonly epoch: number;
  readonly keys: ReadonlyMap<string, OwnedKey>;
  readonly targets: ReadonlyMap<string, StewardedTarget>;
  readonly templates: ReadonlySet<string>;
  readonly guardians: ReadonlyMap<string, readonly string[]>;
}

export function collectImage(
  view: StateView,
  keys: readonly string[],
): FoldImage {
  const located = new Map<string, OwnedKey>();
  for (const { name } of view.listTemplates()) {
    for (const key of keys) {
      const location = view.locateKey(name, key);
      if (location !== undefined) {
        const { owner, token } = location.unit;
        located.set(`${name}/${key}`, { owner, token });
      }
    }
  }
  return {
    version: view.configurationVersion,
    epoch: view.epoch,
    keys: located,
    targets: new Map(
      view.listTargets().map((state) => [state.target.id, {
        steward: state.steward,
        token: state.stewardToken,
      }]),
    ),
    templates: new Set(view.listTemplates().map(({ name }) => name)),
    guardians: new Map(
      view.listMembers().map((member) => [
        member.instance.id,
        member.guardians,
      ]),
    ),
  };
}

interface Step {
  readonly before: FoldImage;
  readonly after: FoldImage;
  readonly author: string;
  readonly accepted: readonly Entry[];
}

/** The first rule that the step breaks, in words; undefined where none. */
export function findBrokenRule(
  before: FoldImage,
  after: FoldImage,
  record: {
    readonly envelope: Envelope | undefined;
    readonly verdicts: readonly Verdict[];
  },
): string | undefined {
  const accepted = (record.envelope?.entries ?? [])
    .filter((_, index) => record.verdicts[index]?.kind === "accepted");
  const author = record.envelope?.author ?? "";
  const step: Step = { before, after, author, accepted };
  return findVersionFault(step) ?? findOwnerFault(step) ??
    findStewardFault(step) ?? findTakeOverFault(step);
}

function findVersionFault(step: Step): string | undefined {
  const published = countKind(step, "configuration-published");
  const advanced = countKind(step, "epoch-advanced");
  if (step.after.version !== step.before.version + published) {
    return `version went from ${step.before.version} to ${step.after.version} by ${published} publications`;
  }
  return step.after.epoch === step.before.epoch + advanced
    ? undefined
    : `epoch went from ${step.before.epoch} to ${step.after.epoch}`;
}

function findOwnerFault(step: Step): string | undefined {
  for (const [name, after] of step.after.keys) {
    const before = step.before.keys.get(name);
    if (before === undefined) {
      continue;
    }
    if (after.token < before.token) {
      return `token of ${name} fell from ${before.token} to ${after.token}`;
    }
    if (after.owner !== before.owner && after.token === before.token) {
      return `${name} changed its owner under token ${after.token}`;
    }
    if (
      before.owner !== null && after.owner !== before.owner &&
      !isOwnerChangeAllowed(step, before.owner)
    ) {
      return `${name} went from ${before.owner} to ${after.owner} without a release by its steward or a loss`;
    }
  }
  return undefined;
}

/** A loss of the owner, or a release written by the owner's steward. */
function isOwnerChangeAllowed(step: Step, owner: string): boolean {
  const stewards = [
    step.before.targets.get(owner)?.steward,
    step.after.targets.get(owner)?.steward,
  ];
  return step.accepted.some((entry) =>
    (entry.kind === "target-lost" && entry.target === owner) ||
    (entry.kind === "move-released" && stewards.includes(step.author)) ||
    (entry.kind === "configuration-published" &&
      entry.changes.some(({ content }) => content === null))
  );
}

function findStewardFault(step: Step): string | undefined {
  for (const [target, after] of step.after.targets) {
    const before = step.before.targets.get(target);
    if (before === undefined || before.steward === after.steward) {
      continue;
    }
    if (after.token <= before.token) {
      return `${target} changed its steward without a new token`;
    }
    const { steward } = before;
    const isAllowed = steward === null || steward === step.author ||
      step.accepted.some((entry) =>
        (entry.kind === "instance-lost" && entry.instance === steward) ||
        (entry.kind === "target-lost" && entry.target === target)
      );
    if (!isAllowed) {
      return `${target} was taken from ${steward} by ${step.author}`;
    }
  }
  return undefined;
}

/** Without more than half of the guardians, or an operator, no take-over. */
function findTakeOverFault(step: Step): string | undefined {
  for (const entry of step.accepted) {
    if (entry.kind !== "instance-lost") {
      continue;
    }
    const { evidence, instance } = entry;
    const guardians = step.before.guardians.get(instance);
    if (evidence.kind !== "guardians" || guardians === undefined) {
      continue;
    }
    const given = new Set([...evidence.consented, ...evidence.waitedOut]);
    const own = guardians.filter((id) => given.has(id));
    if (own.length * 2 <= guardians.length) {
      return `${instance} was taken over with ${own.length} of ${guardians.length} guardians`;
    }
  }
  return undefined;
}

function countKind(step: Step, kind: Entry["kind"]): number {
  return step.accepted.filter((entry) => entry.kind === kind).length;
}

/** Both directions of the index from targets to units must agree. */
export function findIndexFault(view: StateView): string | undefined {
  for (const { name } of view.listTemplates()) {
    const units = view.listUnits(name);
    if (new Set(units.map(({ unit }) => unit)).size !== units.length) {
      return `a unit of ${name} is listed twice`;
    }
    for (const { unit, owner } of units) {
      const holders = view.listTargets().map(({ target }) => target)
        .filter((target) =>
          target.template === name &&
          view.listUnitsOfTarget(target.id).some((owned) => owned.unit === unit)
        );
      const expected = owner === null ? [] : [owner];
      if (holders.map(({ id }) => id).join() !== expected.join()) {
        return `unit ${unit} of ${name} is owned by ${owner} and listed with ${
          holders.map(({ id }) => id)
        }`;
      }
    }
    const shards = view.getTemplate(name)!.shardCount;
    const listed = units.filter(({ unit }) => unit.startsWith("s:")).length;
    if (listed !== shards) {
      return `${name} declares ${shards} shards and has ${listed}`;
    }
  }
  return undefined;
}
