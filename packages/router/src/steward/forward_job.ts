/** One forwarded request while a steward works on it. */
import type { Template } from "@lentilspur/declarations/template";
import type { RequestError } from "@lentilspur/outcomes/error_kinds";
import type { ForwardReply, ForwardRequest } from "@lentilspur/ports/peer";
import type { RequestSubject } from "@lentilspur/proof/decision_line";

export class ForwardJob {
  readonly request: ForwardRequest;
  readonly template: Template;
  /** Share of its client account under contention. */
  readonly weight: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  #attempt = 0;
  #unknownError: RequestError | undefined;

  constructor(options: {
    readonly request: ForwardRequest;
    readonly template: Template;
    readonly weight: number;
    readonly nowMs: number;
  }) {
    this.request = options.request;
    this.template = options.template;
    this.weight = options.weight;
    this.arrivedAtMs = options.nowMs;
    this.deadlineAtMs = options.nowMs + options.request.remainingMs;
  }

  /** Counts dispatches; 0 before the first. */
  get attempt(): number {
    return this.#attempt;
  }

  /** True once any dispatch of the job ended without proof. */
  get mayHaveRun(): boolean {
    return this.#unknownError !== undefined;
  }

  get subject(): RequestSubject {
    const { requestId, clientAccount, template, key, idempotent } =
      this.request;
    return { requestId, clientAccount, template, key, idempotent };
  }

  /** Begins the next dispatch and gives its number. */
  advanceAttempt(): number {
    this.#attempt++;
    return this.#attempt;
  }

  /** Remembers that this dispatch may have run. */
  recordUnknown(error: RequestError): void {
    this.#unknownError ??= error;
  }

  /**
   * The reply that is true over all dispatches of the job.
   *
   * Guards against a lookup whose first dispatch went silent and whose retry
   * was refused: the refusal alone would read as "not run".
   */
  resolveReply(reply: ForwardReply): ForwardReply {
    const unknown = this.#unknownError;
    if (unknown === undefined || reply.kind === "answered") {
      return reply;
    }
    if (reply.kind === "failed" && reply.error.outcome !== "not-run") {
      return reply;
    }
    return { kind: "failed", error: unknown };
  }
}
