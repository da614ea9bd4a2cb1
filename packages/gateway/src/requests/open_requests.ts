/**
 * The requests of callers, or of other instances, that have no response yet, by
 * how far they have got. During a planned stop, those that can no longer be
 * sent are refused, and when the process ends, all others are answered.
 */
import type { FinalResponse } from "../entry/caller_request.ts";
import {
  createFailure,
  type RequestContext,
  type RequestStage,
} from "./request_context.ts";

/** Number of requests by stage; stages without requests are left out. */
export type StageCounts = { readonly [Stage in RequestStage]?: number };

export class OpenRequests<Response> {
  readonly #open = new Map<RequestContext, (response: Response) => void>();
  readonly #createEnd: (context: RequestContext) => Response | undefined;

  /**
   * `createEnd` creates the response to a request that a stop ends; undefined
   * if it cannot be ended.
   */
  constructor(createEnd: (context: RequestContext) => Response | undefined) {
    this.#createEnd = createEnd;
  }

  countByStage(): StageCounts {
    const counts: { [Stage in RequestStage]?: number } = {};
    for (const { stage } of this.#open.keys()) {
      counts[stage] = (counts[stage] ?? 0) + 1;
    }
    return counts;
  }

  /**
   * Resolves to the response that `run` resolves to, unless the request is
   * ended first.
   */
  async run(
    context: RequestContext,
    run: () => Promise<Response>,
  ): Promise<Response> {
    try {
      return await new Promise((resolve, reject) => {
        this.#open.set(context, resolve);
        run().then(resolve, reject);
      });
    } finally {
      this.#open.delete(context);
    }
  }

  /** Refuses the requests that are not being sent and may not be any more. */
  refuseWaiting(maySend: (context: RequestContext) => boolean): void {
    for (const context of this.#open.keys()) {
      if (!isBeingSent(context) && !maySend(context)) {
        this.#stop(context);
      }
    }
  }

  /** Answers all requests, since the process ends. */
  stopAll(): void {
    for (const context of this.#open.keys()) {
      this.#stop(context);
    }
  }

  #stop(context: RequestContext): void {
    const end = this.#createEnd(context);
    if (end !== undefined) {
      context.hasEnded = true;
      this.#open.get(context)?.(end);
      this.#open.delete(context);
    }
  }
}

/** The response to a request that a planned stop ends. */
export function createStopFailure(context: RequestContext): FinalResponse {
  if (isBeingSent(context)) {
    const message = "The instance has to end before the response has arrived";
    return createFailure("answer-lost", message);
  }
  return context.mayHaveRun
    ? createFailure(
      "answer-lost",
      "The answer was lost, and the instance is about to end",
    )
    : createFailure(
      "stopping",
      "The instance is about to end, and the request could outlast it",
    );
}

/** Whether a target may have the request now. */
export function isBeingSent({ stage }: RequestContext): boolean {
  return stage === "sent" || stage === "forwarded";
}
