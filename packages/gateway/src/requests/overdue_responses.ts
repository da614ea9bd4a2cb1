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
import { RestartTimeout } from "@lentilspur/routing/restart_timeout";
import type { PathMonitor } from "../paths/path_monitor.ts";
import { countRuns, type RequestContext } from "./request_context.ts";
import type { SendAbortController } from "./send_abort_controller.ts";
import type { ServiceRegistry } from "./service_registry.ts";
import type { StopAdmission } from "./stop_admission.ts";

export interface OverdueResponsesOptions {
  readonly clock: Clock;
  readonly services: Pick<
    ServiceRegistry,
    "estimateResponseMs" | "hasRoom"
  >;
  readonly paths: Pick<PathMonitor, "checkOverdue">;
  /** During a stop, no overdue sends are given up. */
  readonly stopAdmission: Pick<StopAdmission, "isStopping">;
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
/** A response that misses the goal is overdue after this many times its time. */
const MISSED_GOAL_RATIO = 2.5;
/** Interval at which an overdue send is checked while no place is free. */
const RECHECK_MS = 50;
/** Routes whose response times are kept; more than an instance serves at once. */
const MAX_ROUTES = 1_000;

export class OverdueResponses {
  readonly #options: OverdueResponsesOptions;
  /** By service and route. */
  readonly #timeouts = new Map<string, RestartTimeout>();
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
    const targetMs = this.#options.services
      .estimateResponseMs(context.service, send.target.id);
    const expectedMs = this.#getTimeout(context).estimateResponseMs(targetMs);
    void this.#checkPath(send, targetMs);
    void this.#cancelOverdue(context, send, expectedMs);
    return expectedMs;
  }

  /** Records what the end of a send tells about the response times. */
  recordOutcome(context: RequestContext, outcome: SendOutcome, send: {
    readonly elapsedMs: number;
    readonly expectedMs: number;
    readonly isOverdue: boolean;
  }): void {
    const timeout = this.#getTimeout(context);
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
    await clock.waitForArrivals();
    if (!signal.aborted) {
      paths.checkOverdue(target, sentAtMs);
    }
  }

  /**
   * Gives up an overdue send as soon as the request can be sent again, with a
   * place, enough time and a retry from the budget. Otherwise the send goes on.
   */
  async #cancelOverdue(
    context: RequestContext,
    { owner, abortController }: WatchedSend,
    expectedMs: number,
  ): Promise<void> {
    const { clock, services, stopAdmission } = this.#options;
    const { route, service, deadlineAtMs } = context;
    const { signal } = abortController;
    if (
      !route.idempotent || context.isTrial ||
      countRuns(context) >= route.maxAttempts
    ) {
      return;
    }
    await clock.sleep(this.#computeOverdueMs(context, expectedMs), signal);
    await clock.waitForArrivals();
    while (!signal.aborted && !stopAdmission.isStopping) {
      if (deadlineAtMs - clock.readMs() < expectedMs) {
        return;
      }
      const excluded = context.excludedTargets;
      const sought = owner === undefined ? { excluded } : { owner, excluded };
      if (services.hasRoom(service, sought)) {
        if (this.#claimRetry(context)) {
          abortController.cancelOverdue();
        }
        return;
      }
      await clock.sleep(RECHECK_MS, signal);
    }
  }

  /**
   * While little is known of the route's response times, only a response that
   * misses the route's goal is overdue. Any that misses it is overdue if it also
   * takes clearly longer than expected: another run may still be answered before
   * the deadline.
   */
  #computeOverdueMs(context: RequestContext, expectedMs: number): number {
    const timeout = this.#getTimeout(context);
    const waitedMs = this.#options.clock.readMs() -
      context.request.arrivedAtMs;
    const goalMs = context.route.goalMs - waitedMs;
    const minMs = timeout.isKnown ? MIN_OVERDUE_MS : goalMs;
    const ratio = timeout.chooseRatio(goalMs / expectedMs);
    const missedGoalMs = Math.max(goalMs, MISSED_GOAL_RATIO * expectedMs);
    return Math.max(minMs, Math.min(ratio * expectedMs, missedGoalMs));
  }

  #getTimeout({ service, route }: RequestContext): RestartTimeout {
    const key = `${service} ${route.name}`;
    let timeout = this.#timeouts.get(key);
    if (timeout === undefined) {
      timeout = new RestartTimeout();
      this.#timeouts.set(key, timeout);
      this.#expireOldest();
    }
    return timeout;
  }

  #expireOldest(): void {
    if (this.#timeouts.size > MAX_ROUTES) {
      const [oldest] = this.#timeouts.keys();
      this.#timeouts.delete(oldest!);
    }
  }
}
