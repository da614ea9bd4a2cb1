/** The callers' requests that have no response yet, by how far they have got. */
import type { FinalResponse } from "../entry/caller_request.ts";
import type { RequestContext, RequestStage } from "./request_context.ts";

/** Number of requests by stage; stages without requests are left out. */
export type StageCounts = { readonly [Stage in RequestStage]?: number };

export class OpenRequests {
  readonly #open = new Set<RequestContext>();

  countByStage(): StageCounts {
    const counts: { [Stage in RequestStage]?: number } = {};
    for (const { stage } of this.#open) {
      counts[stage] = (counts[stage] ?? 0) + 1;
    }
    return counts;
  }

  /** Keeps the request among the open ones until `run` resolves. */
  async run(
    context: RequestContext,
    run: () => Promise<FinalResponse>,
  ): Promise<FinalResponse> {
    this.#open.add(context);
    try {
      return await run();
    } finally {
      this.#open.delete(context);
    }
  }
}
