/**
 * Everything that is known of one request, whatever order it arrived in. A
 * request is named by its client account and its id: ids of two client
 * accounts never mean the same request.
 */
import type { Outcome } from "@lentilspur/outcomes/error_kinds";
import type { DecisionLine } from "./decision_line.ts";
import type { CallerAnswer, Evidence, TargetExecution } from "./evidence.ts";

export type LineOf<D extends DecisionLine["decision"]> = Extract<
  DecisionLine,
  { readonly decision: D }
>;

export type RequestLine = Extract<DecisionLine, { readonly requestId: string }>;

/** One dispatch and what its steward learned of it. */
export interface DispatchTrail {
  readonly dispatched: LineOf<"request-dispatched">;
  readonly settled: LineOf<"request-settled"> | undefined;
}

/** One send, as the entry that took it saw it. */
export interface SendTrail {
  readonly instance: string;
  /** Undefined where no line tells the answer. */
  readonly answered: LineOf<"request-answered"> | undefined;
}

export class RequestTrail {
  readonly name: string;
  readonly requestId: string;
  readonly clientAccount: string;
  #idempotent: boolean | undefined;
  readonly #lines = new Map<string, RequestLine>();
  readonly #executions = new Map<string, TargetExecution>();
  readonly #answers: CallerAnswer[] = [];

  constructor(subject: {
    readonly requestId: string;
    readonly clientAccount: string;
  }) {
    this.name = formatRequestName(subject);
    this.requestId = subject.requestId;
    this.clientAccount = subject.clientAccount;
  }

  /** Undefined while only targets' histories name the request. */
  get idempotent(): boolean | undefined {
    return this.#idempotent;
  }

  addLine(line: RequestLine): void {
    this.#idempotent = line.idempotent;
    this.#lines.set(`${line.instance}#${line.sequence}`, line);
  }

  addExecution(execution: TargetExecution): void {
    const { target, bootId, sequence } = execution;
    this.#idempotent ??= execution.idempotent;
    this.#executions.set(`${target}#${bootId}#${sequence}`, execution);
  }

  addAnswer(answer: CallerAnswer): void {
    this.#idempotent = answer.idempotent;
    this.#answers.push(answer);
  }

  /** Those that had an effect, or may have had one. */
  get executions(): readonly TargetExecution[] {
    return [...this.#executions.values()]
      .filter(({ hadNoEffect }) => hadNoEffect !== true);
  }

  get answers(): readonly CallerAnswer[] {
    return this.#answers;
  }

  /** By instance, then in the order in which the instance wrote them. */
  listLines(): readonly RequestLine[] {
    return [...this.#lines.values()].sort((left, right) =>
      left.instance === right.instance
        ? left.sequence - right.sequence
        : left.instance < right.instance
        ? -1
        : 1
    );
  }

  /** A settlement belongs to the latest dispatch of its attempt before it. */
  listDispatches(): readonly DispatchTrail[] {
    const dispatches: {
      dispatched: LineOf<"request-dispatched">;
      settled: LineOf<"request-settled"> | undefined;
    }[] = [];
    for (const line of this.listLines()) {
      if (line.decision === "request-dispatched") {
        dispatches.push({ dispatched: line, settled: undefined });
      } else if (line.decision === "request-settled") {
        const open = dispatches.findLast(({ dispatched, settled }) =>
          settled === undefined && dispatched.instance === line.instance &&
          dispatched.attempt === line.attempt
        );
        if (open !== undefined) {
          open.settled = line;
        }
      }
    }
    return dispatches;
  }

  /** A send begins with its first routing and ends with its answer. */
  listSends(): readonly SendTrail[] {
    const sends: SendTrail[] = [];
    const open = new Set<string>();
    for (const line of this.listLines()) {
      if (line.decision === "request-routed") {
        open.add(line.instance);
      } else if (line.decision === "request-answered") {
        open.delete(line.instance);
        sends.push({ instance: line.instance, answered: line });
      }
    }
    open.forEach((instance) => sends.push({ instance, answered: undefined }));
    return sends;
  }

  /** What callers were told: by themselves if known, else by the entries. */
  listOutcomes(): readonly (Outcome | "none")[] {
    if (this.#answers.length > 0) {
      return this.#answers.map(({ outcome }) => outcome);
    }
    return this.listSends().map(({ answered }) => answered?.outcome ?? "none");
  }

  /** All lines as evidence, for a finding. */
  toEvidence(): readonly Evidence[] {
    return [
      ...this.listLines().map((line) => ({ kind: "line", line }) as const),
      ...this.executions.map((execution) =>
        ({ kind: "execution", execution }) as const
      ),
      ...this.#answers.map((answer) => ({ kind: "answer", answer }) as const),
    ];
  }
}

export function formatRequestName(subject: {
  readonly requestId: string;
  readonly clientAccount: string;
}): string {
  return `${subject.clientAccount}:${subject.requestId}`;
}

/** True unless it is proved that this dispatch did not run. */
export function mayHaveRun(dispatch: DispatchTrail): boolean {
  return dispatch.settled?.outcome !== "not-run";
}

export function isRequestLine(line: DecisionLine): line is RequestLine {
  return "requestId" in line;
}
