/**
 * An accepted configuration is in force everywhere within seconds and never
 * reverts. The log says which versions were accepted; each instance says when
 * it put one in force, and is measured by its own clock from its first line
 * that shows the version folded.
 */
import type { FactTally } from "./finding.ts";
import type { FoldProgress } from "./fold_progress.ts";
import type {
  Membership,
  OwnershipHistory,
  PublishedVersion,
} from "./ownership_history.ts";
import { getOffset } from "@lentilspur/outcomes/position";
import type { LineOf } from "./request_trail.ts";

/** The letter's "in force everywhere within 5 s". */
export const CONFIGURATION_LIMIT_MS = 5_000;

export type InForceLine = LineOf<"configuration-in-force">;

export interface ConfigurationContext {
  readonly history: OwnershipHistory;
  readonly progress: FoldProgress;
  hasGap(instance: string): boolean;
}

/** Configuration lines are few: one an instance and version. */
export class ConfigurationLines {
  readonly #byInstance = new Map<string, Map<number, InForceLine>>();

  addLine(line: InForceLine): void {
    const lines = this.#byInstance.get(line.instance) ?? new Map();
    lines.set(line.sequence, line);
    this.#byInstance.set(line.instance, lines);
  }

  /** In the order in which the instance wrote them. */
  listLines(instance: string): readonly InForceLine[] {
    const lines = [...this.#byInstance.get(instance)?.values() ?? []];
    return lines.sort((left, right) => left.sequence - right.sequence);
  }

  check(context: ConfigurationContext, tally: FactTally): void {
    checkVersions(context.history.listVersions(), tally);
    for (const instance of this.#byInstance.keys()) {
      this.#checkOrder(instance, context, tally);
    }
    for (const member of context.history.listMembers()) {
      this.#checkMember(member, context, tally);
    }
  }

  #checkOrder(
    instance: string,
    context: ConfigurationContext,
    tally: FactTally,
  ): void {
    let before: InForceLine | undefined;
    for (const line of this.listLines(instance)) {
      tally.recordChecked();
      if (before !== undefined && line.version < before.version) {
        tally.recordViolation(
          `version ${before.version}`,
          `${instance} went back from it to version ${line.version}`,
          [{ kind: "line", line: before }, { kind: "line", line }],
        );
      }
      checkPosition(line, context.history, tally);
      before = line;
    }
  }

  #checkMember(
    member: Membership,
    context: ConfigurationContext,
    tally: FactTally,
  ): void {
    const lines = this.listLines(member.instance);
    for (const published of context.history.listVersions()) {
      const offset = getOffset(published.position);
      const removedAt = member.removedAt ?? Infinity;
      if (offset <= member.joinedAt || offset >= removedAt) {
        continue;
      }
      this.#checkDelay(member.instance, { published, lines, context, tally });
    }
  }

  #checkDelay(
    instance: string,
    options: {
      readonly published: PublishedVersion;
      readonly lines: readonly InForceLine[];
      readonly context: ConfigurationContext;
      readonly tally: FactTally;
    },
  ): void {
    const { published, lines, context, tally } = options;
    const { progress } = context;
    const subject = `version ${published.version}`;
    const foldedAt = progress.getFoldedAt(
      instance,
      getOffset(published.position),
    );
    const inForce = lines.find(({ version }) => version >= published.version);
    const until = inForce?.elapsedMs ?? progress.getLastElapsedMs(instance);
    tally.recordChecked();
    if (
      foldedAt !== undefined && until !== undefined &&
      until - foldedAt > CONFIGURATION_LIMIT_MS
    ) {
      if (inForce === undefined && context.hasGap(instance)) {
        tally.recordGap(subject, `lines of ${instance} are missing`);
      } else {
        tally.recordViolation(
          subject,
          `${instance} had folded it for ${
            Math.round(until - foldedAt)
          } ms without putting it in force`,
          inForce === undefined ? [] : [{ kind: "line", line: inForce }],
        );
      }
    } else if (inForce === undefined) {
      tally.recordGap(subject, `no line of ${instance} says it is in force`);
    }
  }
}

function checkVersions(
  versions: readonly PublishedVersion[],
  tally: FactTally,
): void {
  tally.recordChecked(versions.length);
  for (let index = 1; index < versions.length; index++) {
    const before = versions[index - 1]!;
    const after = versions[index]!;
    if (after.version !== before.version + 1) {
      tally.recordViolation(
        `version ${after.version}`,
        `was accepted right after version ${before.version}`,
      );
    }
  }
}

function checkPosition(
  line: InForceLine,
  history: OwnershipHistory,
  tally: FactTally,
): void {
  const published = history.listVersions()
    .find(({ version }) => version === line.version);
  if (published !== undefined && published.position !== line.position) {
    tally.recordViolation(
      `version ${line.version}`,
      `${line.instance} took it from position ${line.position}, and the log accepted it at ${published.position}`,
      [{ kind: "line", line }],
    );
  }
}
