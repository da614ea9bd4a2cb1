/**
 * An acknowledged assignment survives. Every accepted assignment must still be
 * what later records build on, and no instance may use a token older than one
 * that it has used for the same unit before.
 */
import type { Position } from "@lentilspur/outcomes/position";
import type { FactTally } from "./finding.ts";
import type { AcceptedEntry } from "./ownership_history.ts";
import { formatUnitName, type OwnershipHistory } from "./ownership_history.ts";
import type { LineOf } from "./request_trail.ts";

/** What the history shows right after the record of the assignment. */
export function checkAcceptedAssignments(
  accepted: readonly AcceptedEntry[],
  history: OwnershipHistory,
  tally: FactTally,
): void {
  const last = new Map<string, { to: string; position: Position }>();
  for (const { entry, position } of accepted) {
    if (entry.kind === "units-assigned") {
      for (const { unit, to } of entry.units) {
        last.set(formatUnitName(entry.template, unit), { to, position });
      }
    } else if (
      entry.kind === "move-released" || entry.kind === "move-abandoned"
    ) {
      last.delete(formatUnitName(entry.template, entry.unit));
    } else if (entry.kind === "target-lost") {
      last.clear();
    }
  }
  for (const [name, { to, position }] of last) {
    tally.recordChecked();
    const holdings = history.listHoldingsByName(name);
    if (
      !holdings.some(({ holder, token }) => holder === to && token === position)
    ) {
      tally.recordViolation(
        name,
        `its assignment to ${to} was accepted at position ${position} and is not in force after it`,
      );
    }
  }
}

interface TokenUse {
  readonly token: Position;
  readonly sequence: number;
}

/**
 * The newest token that each instance used for each unit, and the latest use
 * of the one before it: enough to see a return to an older token, in whatever
 * order the lines come.
 */
export class TokenUses {
  readonly #uses = new Map<string, TokenUse[]>();

  addDispatch(line: LineOf<"request-dispatched">, tally: FactTally): void {
    const name = `${line.instance} ${formatUnitName(line.template, line.unit)}`;
    const uses = this.#uses.get(name) ?? [];
    const reverted = uses.find(({ token, sequence }) =>
      (token > line.unitToken && sequence < line.sequence) ||
      (token < line.unitToken && sequence > line.sequence)
    );
    tally.recordChecked();
    if (reverted !== undefined) {
      tally.recordViolation(
        formatUnitName(line.template, line.unit),
        `${line.instance} used the tokens ${reverted.token} and ${line.unitToken} against their order`,
        [{ kind: "line", line }],
      );
    }
    this.#uses.set(name, mergeUse(uses, line.unitToken, line.sequence));
  }
}

/** For each token the first and the last use; a unit changes hands rarely. */
function mergeUse(
  uses: readonly TokenUse[],
  token: Position,
  sequence: number,
): TokenUse[] {
  const others = uses.filter((use) => use.token !== token);
  const own = uses.filter((use) => use.token === token)
    .map((use) => use.sequence);
  const first = Math.min(sequence, ...own);
  const last = Math.max(sequence, ...own);
  return [
    ...others,
    { token, sequence: first },
    ...(last === first ? [] : [{ token, sequence: last }]),
  ];
}
