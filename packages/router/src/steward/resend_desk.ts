/**
 * Runs each non-idempotent request once and answers its resends: from memory,
 * by joining the run in progress, or as unknown where the memory cannot tell.
 */
import {
  makeRequestError,
  type RequestError,
} from "@lentilspur/outcomes/error_kinds";
import type { Clock } from "@lentilspur/ports/clock";
import type { ForwardReply } from "@lentilspur/ports/peer";
import type { DecisionSink } from "@lentilspur/proof/decision_line";
import type { StateSource } from "../state_source.ts";
import { AnswerStore } from "./answer_store.ts";
import type { ForwardJob } from "./forward_job.ts";
import type { Permitted } from "./permission_gate.ts";
import type { MemoryRecord, RequestMemory } from "./request_memory.ts";
import { SharedWork } from "./shared_work.ts";

/** Several thousand answers of the usual few hundred bytes. */
const ANSWER_BYTES = 8 * 1024 * 1024;
/** Room in the memory comes with the next epoch; sooner is of little use. */
const MEMORY_RETRY_MS = 30_000;

/** A reply, or the news that nothing was sent because the owner changed. */
export type Served = ForwardReply | { readonly kind: "moved" };

export type Handled = SharedWork<Served>;

export interface ServeOptions {
  readonly signal: AbortSignal;
  readonly markDispatched: () => void;
}

export interface ResendDeskOptions {
  readonly memory: RequestMemory<Handled>;
  readonly state: StateSource;
  readonly clock: Clock;
  readonly decisions: DecisionSink;
}

export class ResendDesk {
  readonly #options: ResendDeskOptions;
  readonly #answers = new AnswerStore({ maxBytes: ANSWER_BYTES });

  constructor(options: ResendDeskOptions) {
    this.#options = options;
  }

  /** Runs the request if it is new, and answers it from memory if not. */
  async handle(
    job: ForwardJob,
    permission: Permitted,
    options: {
      readonly signal: AbortSignal;
      readonly run: (options: ServeOptions) => Promise<Served>;
    },
  ): Promise<Served> {
    const work: Handled = new SharedWork();
    const claim = this.#options.memory.claim(job.request, permission, {
      epoch: this.#options.state.getView().epoch,
      work,
    });
    switch (claim.kind) {
      case "claimed":
        work.start((signal) =>
          this.#runClaimed(job, claim.record, { ...options, signal })
        );
        return await work.wait(options.signal);
      case "remembered":
        return await this.#answerResend(job, permission, {
          record: claim.record,
          signal: options.signal,
        });
      case "not-remembered":
        this.#logResend(job, permission, "not-remembered");
        return makeFailed(makeForgottenError(job));
      case "other-request":
        return makeFailed(makeOtherRequestError(job));
      case "full":
        return makeFailed(makeFullError());
    }
  }

  /**
   * The record outlives the run exactly where the run may have had an effect.
   * An unexpected exception after the dispatch proves nothing, so the record
   * stays and resends are told `unknown`.
   */
  async #runClaimed(
    job: ForwardJob,
    record: MemoryRecord<Handled>,
    options: {
      readonly signal: AbortSignal;
      readonly run: (options: ServeOptions) => Promise<Served>;
    },
  ): Promise<Served> {
    let served: Served | undefined;
    const markDispatched = (): void => {
      if (record.progress.kind === "queued") {
        record.progress = { ...record.progress, kind: "dispatched" };
      }
    };
    try {
      served = await options.run({ signal: options.signal, markDispatched });
      return served;
    } finally {
      this.#settle(job, record, served);
    }
  }

  #settle(
    job: ForwardJob,
    record: MemoryRecord<Handled>,
    served: Served | undefined,
  ): void {
    if (served?.kind === "answered") {
      record.progress = { kind: "ran" };
      this.#answers.add(formatAnswerName(job), served);
      return;
    }
    const hasProof = served === undefined
      ? record.progress.kind === "queued"
      : served.kind !== "failed" || served.error.outcome === "not-run";
    if (hasProof && !job.mayHaveRun) {
      this.#options.memory.release(record);
    } else {
      record.progress = { kind: "unknown" };
    }
  }

  async #answerResend(
    job: ForwardJob,
    permission: Permitted,
    options: {
      readonly record: MemoryRecord<Handled>;
      readonly signal: AbortSignal;
    },
  ): Promise<Served> {
    const { progress } = options.record;
    switch (progress.kind) {
      case "queued":
      case "dispatched":
        this.#logResend(job, permission, "joined");
        return await this.#join(job, progress.work, options.signal);
      case "ran":
        this.#logResend(job, permission, "answered");
        return this.#answers.get(formatAnswerName(job)) ??
          makeFailed(makeAlreadyRanError(job));
      case "unknown":
        this.#logResend(job, permission, "not-remembered");
        return makeFailed(makeForgottenError(job));
    }
  }

  /** Waits for the run in progress, but no longer than this send's deadline. */
  async #join(
    job: ForwardJob,
    work: Handled,
    signal: AbortSignal,
  ): Promise<Served> {
    const { clock } = this.#options;
    const end = new AbortController();
    const leftMs = job.deadlineAtMs - clock.readMs();
    const timeout = clock.sleep(leftMs, end.signal).then(() => undefined);
    const joined = work.wait(AbortSignal.any([signal, end.signal]));
    const served = await Promise.race([joined, timeout]);
    end.abort();
    return served ?? makeFailed(makeRequestError(
      "deadline-passed",
      "The deadline passed while the first send of the request was running",
      { outcome: "unknown" },
    ));
  }

  #logResend(
    job: ForwardJob,
    permission: Permitted,
    memory: "answered" | "joined" | "not-remembered",
  ): void {
    this.#options.decisions.log({
      ...job.subject,
      decision: "resend-recognised",
      unit: permission.unit,
      memory,
    });
  }
}

function makeFailed(error: RequestError): ForwardReply {
  return { kind: "failed", error };
}

function formatAnswerName(job: ForwardJob): string {
  const { clientAccount, requestId, template, key } = job.request;
  return `${clientAccount}\n${requestId}\n${template}\n${key}`;
}

function makeForgottenError(job: ForwardJob): RequestError {
  return makeRequestError(
    "resend-not-remembered",
    `Request '${job.request.requestId}' may have been run by an earlier send`,
  );
}

function makeAlreadyRanError(job: ForwardJob): RequestError {
  return makeRequestError(
    "already-ran",
    `Request '${job.request.requestId}' ran and its answer is not kept`,
  );
}

function makeOtherRequestError(job: ForwardJob): RequestError {
  return makeRequestError(
    "bad-request-id",
    `Request id '${job.request.requestId}' already names another request`,
  );
}

function makeFullError(): RequestError {
  return makeRequestError(
    "queue-full",
    "The steward remembers as many requests as it can",
    { retryAfterMs: MEMORY_RETRY_MS },
  );
}
