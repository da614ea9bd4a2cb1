/**
 * Gives up sends whose response is overdue, so that the request is sent again.
 *
 * Failure case: targets lose some of their responses, or run a few requests in
 * a hundred for many times the usual time. The caller of an idempotent request
 * would wait until its deadline.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { SendOutcome } from "@lentilspur/ports/request_sender";
import type { RoutingTarget } from "@lentilspur/ports/routing_table";
import type { PathMonitor } from "../paths/path_monitor.ts";
import { countRuns, type RequestContext } from "./request_context.ts";
import type { SendAbortController } from "./send_abort_controller.ts";
import type { ServiceRegistry } from "./service_registry.ts";

export interface OverdueResponsesOptions {
  readonly clock: Clock;
  readonly services: Pick<
    ServiceRegistry,
    | "estimateResponseMs"
    | "getAverageServiceMs"
    | "getRestartTimeout"
    | "hasRoom"
  >;
  readonly paths: Pick<PathMonitor, "checkOverdue">;
  /**
   * Whether this instance is shutting down; it then gives up no overdue sends.
   */
  readonly isStopping: () => boolean;
}

/** A send whose response is awaited. */
export interface WatchedSend {
  readonly target: RoutingTarget;
  /** The only target that may run the request, if there is one. */
  readonly owner: string | undefined;
  readonly abortController: Pick<
    SendAbortController,
    "signal" | "cancelOverdue"
  >;
}

/** After this many times the expected time the path to the target is checked. */
const CHECK_FACTOR = 2;
/**
 * No response is overdue earlier, since latency and a busy CPU delay it too.
 */
const MIN_OVERDUE_MS = 200;
/** Interval at which an overdue send is checked while no place is free. */
const RECHECK_MS = 50;

export class OverdueResponses {
  readonly #options: OverdueResponsesOptions;
  readonly #claimRetry: (context: RequestContext) => boolean;

  /** `claimRetry` takes a retry from the budget, if the budget allows it. */
  constructor(
    options: OverdueResponsesOptions,
    claimRetry: (context: RequestContext) => boolean,
  ) {
    this.#options = options;
    this.#claimRetry = claimRetry;
  }

  /**
   * Watches a send until it ends. Returns the expected response time in
   * milliseconds.
   */
  watch(context: RequestContext, send: WatchedSend): number {
    const { services } = this.#options;
    const expectedMs = services
      .estimateResponseMs(context.service, send.target.id);
    void this.#checkPath(send, expectedMs);
    void this.#giveUpOverdue(context, send, expectedMs);
    return expectedMs;
  }

  /** Records what the end of a send tells about the response times. */
  recordOutcome(service: string, outcome: SendOutcome, send: {
    readonly elapsedMs: number;
    readonly expectedMs: number;
    readonly isOverdue: boolean;
  }): void {
    const timeout = this.#options.services.getRestartTimeout(service);
    if (outcome.kind === "answered") {
      timeout.recordResponse(send.elapsedMs, send.expectedMs);
    } else if (send.isOverdue) {
      timeout.recordAborted(send.elapsedMs, send.expectedMs);
    }
  }

  /** Checks the path to a target that takes longer than expected. */
  async #checkPath(
    { target, abortController: { signal } }: WatchedSend,
    expectedMs: number,
  ): Promise<void> {
    const { clock, paths } = this.#options;
    const sentAtMs = clock.readMs();
    const checkMs = Math.max(MIN_OVERDUE_MS, CHECK_FACTOR * expectedMs);
    await clock.sleep(checkMs, signal);
    if (!signal.aborted) {
      paths.checkOverdue(target, sentAtMs);
    }
  }

  /**
   * Gives up an overdue send as soon as the request can be sent again, with a
   * place, enough time and a retry from the budget. Otherwise the send goes on.
   */
  async #giveUpOverdue(
    context: RequestContext,
    { owner, abortController }: WatchedSend,
    expectedMs: number,
  ): Promise<void> {
    const { clock, services, isStopping } = this.#options;
    const { route, service, deadlineAtMs } = context;
    const { signal } = abortController;
    if (
      !route.idempotent || context.isTrial ||
      countRuns(context) >= route.maxAttempts
    ) {
      return;
    }
    await clock.sleep(this.#computeOverdueMs(context, expectedMs), signal);
    while (!signal.aborted && !isStopping()) {
      if (deadlineAtMs - clock.readMs() < expectedMs) {
        return;
      }
      if (services.hasRoom(service, owner)) {
        if (this.#claimRetry(context)) {
          abortController.cancelOverdue();
        }
        return;
      }
      await clock.sleep(RECHECK_MS, signal);
    }
  }

  /**
   * While nothing is known of the service's response times, only a response that
   * misses the route's goal is overdue.
   */
  #computeOverdueMs(
    { service, route }: RequestContext,
    expectedMs: number,
  ): number {
    const { services } = this.#options;
    const ratio = services.getRestartTimeout(service).getRatio();
    const minMs = services.getAverageServiceMs(service) === null
      ? route.goalMs
      : MIN_OVERDUE_MS;
    return Math.max(minMs, ratio * expectedMs);
  }
}
