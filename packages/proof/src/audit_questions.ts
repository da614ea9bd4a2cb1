/**
 * Direct answers to what an operator or a regulator asks. Each names the
 * records and lines it rests on, and says what could not be found.
 */
import { getOffset, type Position } from "@lentilspur/outcomes/position";
import {
  hashKeyToShard,
  makeKeyUnit,
  makeShardUnit,
} from "@lentilspur/state/units";
import { loadLog } from "./audit.ts";
import { readAuditFile } from "./audit_input.ts";
import type { DecisionLine } from "./decision_line.ts";
import type { Holding, OwnershipHistory } from "./ownership_history.ts";
import {
  type DispatchTrail,
  isRequestLine,
  type RequestLine,
  RequestTrail,
} from "./request_trail.ts";

export interface OwnerAnswer {
  readonly question: "owner";
  readonly template: string;
  readonly key: string;
  /** Log offsets between which the moment asked for lies. */
  readonly fromOffset: number;
  readonly toOffset: number;
  /** One where the moment is sure; several where a change lies within it. */
  readonly holdings: readonly {
    readonly unit: string;
    readonly owner: string | null;
    readonly token: Position;
    readonly recordOffset: number;
    readonly author: string;
  }[];
  readonly missing: readonly string[];
}

/** `at` is a log offset or an ISO 8601 time. */
export async function locateOwner(
  files: readonly string[],
  question: {
    readonly template: string;
    readonly key: string;
    readonly at: string;
  },
): Promise<OwnerAnswer> {
  const { folding } = await loadLog(files);
  const { history } = folding;
  const range = /^\d+$/.test(question.at)
    ? { from: Number(question.at), to: Number(question.at) }
    : await locateTime(files, question.at, history.nextOffset - 1);
  const shardCount = folding.view.getTemplate(question.template)?.shardCount;
  const units = [
    makeKeyUnit(question.key),
    ...(shardCount === undefined
      ? []
      : [makeShardUnit(hashKeyToShard(question.key, shardCount))]),
  ];
  const [ofKey, ofShard] = units.map((unit) => ({
    unit,
    holdings: history.listUnitHoldings(question.template, unit),
  }));
  const holdings = listHoldingsBetween(ofKey!.holdings, range);
  const hasOwnUnit = holdings.some(({ holder }) => holder !== null);
  const chosen = hasOwnUnit || ofShard === undefined ? ofKey! : ofShard;
  return {
    question: "owner",
    template: question.template,
    key: question.key,
    fromOffset: range.from,
    toOffset: range.to,
    holdings: listHoldingsBetween(chosen.holdings, range).map((holding) => ({
      unit: chosen.unit,
      owner: holding.holder,
      token: holding.token,
      recordOffset: holding.since,
      author: holding.author,
    })),
    missing: [
      ...folding.listMissing(),
      ...(range.from > history.nextOffset - 1
        ? [`the log is at hand up to offset ${history.nextOffset - 1}`]
        : []),
    ],
  };
}

interface OffsetRange {
  readonly from: number;
  readonly to: number;
}

/**
 * Records carry no time. A line tells what its instance had folded at its wall
 * clock, so the lines around a time bound the offset; clocks that disagree
 * widen the range and never narrow it wrongly by more than they disagree.
 */
async function locateTime(
  files: readonly string[],
  at: string,
  lastOffset: number,
): Promise<OffsetRange> {
  const wanted = Date.parse(at);
  if (Number.isNaN(wanted)) {
    throw new RangeError(
      `Cannot read "${at}" as a time, give a log offset or a time such as 2026-01-31T12:00:00Z`,
    );
  }
  let from = 0;
  let to = lastOffset;
  for (const file of files) {
    for await (const input of readAuditFile(file)) {
      if (input.kind !== "line") {
        continue;
      }
      const folded = input.line.foldedOffset - 1;
      if (Date.parse(input.line.time) <= wanted) {
        from = Math.max(from, folded);
      } else {
        to = Math.min(to, folded);
      }
    }
  }
  return from <= to ? { from, to } : { from: to, to: from };
}

/** Holdings in force at some offset of the range. */
function listHoldingsBetween(
  holdings: readonly Holding[],
  range: OffsetRange,
): readonly Holding[] {
  return holdings.filter(({ since }, index) => {
    const end = holdings[index + 1]?.since ?? Infinity;
    return since <= range.to && end > range.from;
  });
}

export interface RequestAnswer {
  readonly question: "request";
  readonly requestId: string;
  readonly found: readonly RequestFate[];
}

/** What became of one request. */
export interface RequestFate {
  readonly clientAccount: string;
  readonly template: string;
  readonly key: string;
  readonly idempotent: boolean;
  readonly verdict:
    | "ran-once"
    | "ran-more-than-once"
    | "not-run"
    | "may-have-run"
    | "never-dispatched";
  readonly dispatches: readonly {
    readonly steward: string;
    readonly target: string;
    readonly unitToken: Position;
    readonly ownerRecord: number;
    readonly outcome: string;
  }[];
  readonly answers: readonly RefusalOrAnswer[];
  readonly lines: readonly RequestLine[];
}

export interface RefusalOrAnswer {
  readonly instance: string;
  readonly time: string;
  readonly outcome: string;
  readonly status: number;
  readonly errorKind?: string;
  readonly limit?: string;
  readonly retryAfterMs?: number;
}

export async function findRequest(
  files: readonly string[],
  requestId: string,
): Promise<RequestAnswer> {
  const trails = new Map<string, RequestTrail>();
  for (const file of files) {
    for await (const input of readAuditFile(file)) {
      if (input.kind === "line" && isLineOfRequest(input.line, requestId)) {
        const { clientAccount } = input.line;
        const trail = trails.get(clientAccount) ??
          new RequestTrail(input.line);
        trail.addLine(input.line);
        trails.set(clientAccount, trail);
      }
    }
  }
  return {
    question: "request",
    requestId,
    found: [...trails.values()].map(describeFate),
  };
}

function isLineOfRequest(
  line: DecisionLine,
  requestId: string,
): line is RequestLine {
  return isRequestLine(line) && line.requestId === requestId;
}

function describeFate(trail: RequestTrail): RequestFate {
  const lines = trail.listLines();
  const { clientAccount, template, key, idempotent } = lines[0]!;
  const dispatches = trail.listDispatches();
  return {
    clientAccount,
    template,
    key,
    idempotent,
    verdict: decideFate(dispatches),
    dispatches: dispatches.map(({ dispatched, settled }) => ({
      steward: dispatched.instance,
      target: dispatched.target,
      unitToken: dispatched.unitToken,
      ownerRecord: getOffset(dispatched.unitToken),
      outcome: settled?.outcome ?? "no line settles it",
    })),
    answers: lines.flatMap((line) =>
      line.decision === "request-answered"
        ? [{
          instance: line.instance,
          time: line.time,
          outcome: line.outcome,
          status: line.status,
          ...(line.errorKind === undefined
            ? {}
            : { errorKind: line.errorKind }),
          ...(line.limit === undefined ? {} : { limit: line.limit }),
          ...(line.retryAfterMs === undefined
            ? {}
            : { retryAfterMs: line.retryAfterMs }),
        }]
        : []
    ),
    lines,
  };
}

function decideFate(
  dispatches: readonly DispatchTrail[],
): RequestFate["verdict"] {
  const outcomes = dispatches.map(({ settled }) => settled?.outcome);
  const ran = outcomes.filter((outcome) => outcome === "ran").length;
  const open =
    outcomes.filter((outcome) => outcome === undefined || outcome === "unknown")
      .length;
  if (dispatches.length === 0) {
    return "never-dispatched";
  }
  if (ran > 1) {
    return "ran-more-than-once";
  }
  if (open > 0) {
    return "may-have-run";
  }
  return ran === 1 ? "ran-once" : "not-run";
}

export interface ConfigurationAnswer {
  readonly question: "configuration";
  readonly version: number;
  readonly published:
    | {
      readonly offset: number;
      readonly operator: string;
      readonly documents: readonly string[];
    }
    | null;
  readonly inForce: readonly {
    readonly instance: string;
    readonly since: string;
    /** The version whose line shows it; a later one contains it. */
    readonly version: number;
  }[];
  /** Members of the time for which no line shows it. */
  readonly notShown: readonly string[];
  readonly missing: readonly string[];
}

export async function findConfiguration(
  files: readonly string[],
  version: number,
): Promise<ConfigurationAnswer> {
  const { folding } = await loadLog(files);
  const { history } = folding;
  const published = history.listVersions()
    .find((each) => each.version === version);
  const first = await collectFirstInForce(files, version);
  return {
    question: "configuration",
    version,
    published: published === undefined ? null : {
      offset: getOffset(published.position),
      operator: published.operator,
      documents: published.documents,
    },
    inForce: [...first.values()].map((line) => ({
      instance: line.instance,
      since: line.time,
      version: line.version,
    })),
    notShown: published === undefined
      ? []
      : listMembersAt(history, getOffset(published.position))
        .filter((instance) => !first.has(instance)),
    missing: folding.listMissing(),
  };
}

type InForceLine = Extract<
  DecisionLine,
  { readonly decision: "configuration-in-force" }
>;

/** Of each instance, its first line that puts this version or a later in force. */
async function collectFirstInForce(
  files: readonly string[],
  version: number,
): Promise<ReadonlyMap<string, InForceLine>> {
  const first = new Map<string, InForceLine>();
  for (const file of files) {
    for await (const input of readAuditFile(file)) {
      if (
        input.kind !== "line" ||
        input.line.decision !== "configuration-in-force" ||
        input.line.version < version
      ) {
        continue;
      }
      const known = first.get(input.line.instance);
      if (known === undefined || input.line.sequence < known.sequence) {
        first.set(input.line.instance, input.line);
      }
    }
  }
  return first;
}

function listMembersAt(
  history: OwnershipHistory,
  offset: number,
): readonly string[] {
  return history.listMembers()
    .filter(({ joinedAt, removedAt }) =>
      joinedAt <= offset && (removedAt ?? Infinity) > offset
    )
    .map(({ instance }) => instance);
}
