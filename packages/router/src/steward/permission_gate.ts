/**
 * Holds a request back while its key's owner is changing, so that callers wait
 * through a short move instead of being refused.
 */
import {
  makeRequestError,
  type RequestError,
} from "@lentilspur/outcomes/error_kinds";
import type { Clock } from "@lentilspur/ports/clock";
import type { ForwardReply } from "@lentilspur/ports/peer";
import type { Authority, Permission } from "../authority.ts";
import type { StateSource } from "../state_source.ts";
import { makeCancelledError } from "./dispatch_errors.ts";
import type { ForwardJob } from "./forward_job.ts";

/** How long a steward that lags behind the entry reads on before it declines. */
const CATCH_UP_MS = 500;
/** A change that outlasted the wait is a take-over, whose steps take this long. */
const CHANGE_RETRY_MS = 500;

export type Permitted = Extract<Permission, { readonly kind: "permitted" }>;
type Withheld = Exclude<Permission, Permitted>;

export type GateResult =
  | { readonly kind: "permitted"; readonly permission: Permitted }
  | { readonly kind: "ended"; readonly reply: ForwardReply };

export interface PermissionGateOptions {
  readonly authority: Authority;
  readonly state: StateSource;
  readonly clock: Clock;
  readonly maxChangeWaitMs: number;
}

export class PermissionGate {
  readonly #options: PermissionGateOptions;
  /** Requests held back, by template. */
  readonly #waiting = new Map<string, number>();

  constructor(options: PermissionGateOptions) {
    this.#options = options;
  }

  /** Resolves as soon as the request may be queued, or must be given up. */
  async wait(job: ForwardJob, signal: AbortSignal): Promise<GateResult> {
    const { template, key } = job.request;
    const permission = this.#options.authority.check(template, key);
    if (permission.kind === "permitted") {
      return { kind: "permitted", permission };
    }
    const waiting = this.#waiting.get(template) ?? 0;
    if (waiting >= job.template.limits.maxQueuedPerTarget) {
      return makeEnd(makeWithheldError(permission));
    }
    this.#waiting.set(template, waiting + 1);
    try {
      return await this.#waitForPermission(job, permission, signal);
    } finally {
      this.#waiting.set(template, this.#waiting.get(template)! - 1);
    }
  }

  async #waitForPermission(
    job: ForwardJob,
    first: Withheld,
    signal: AbortSignal,
  ): Promise<GateResult> {
    const { authority, clock, maxChangeWaitMs } = this.#options;
    const startedAtMs = clock.readMs();
    const giveUpAtMs = Math.min(
      job.deadlineAtMs,
      startedAtMs + maxChangeWaitMs,
    );
    let permission: Permission = first;
    while (permission.kind !== "permitted") {
      const leftMs = giveUpAtMs - clock.readMs();
      if (signal.aborted) {
        return makeEnd(makeCancelledError("not-run"));
      }
      if (leftMs <= 0) {
        return makeEnd(makeWithheldError(permission));
      }
      if (permission.kind === "not-steward") {
        const caughtUp = await this.#waitToCatchUp(job, startedAtMs, signal);
        if (!caughtUp) {
          return { kind: "ended", reply: this.#makeNotSteward() };
        }
      } else {
        await authority.waitForChange(leftMs, signal);
      }
      permission = authority.check(job.request.template, job.request.key);
    }
    return { kind: "permitted", permission };
  }

  /** Waits for one more record; false when there is nothing to wait for. */
  async #waitToCatchUp(
    job: ForwardJob,
    startedAtMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { state, clock } = this.#options;
    const leftMs = startedAtMs + CATCH_UP_MS - clock.readMs();
    const lags = state.getView().nextOffset < job.request.foldedOffset;
    if (!lags || leftMs <= 0) {
      return false;
    }
    await state.waitForFold(leftMs, signal);
    return true;
  }

  #makeNotSteward(): ForwardReply {
    const foldedOffset = this.#options.state.getView().nextOffset;
    return { kind: "not-steward", foldedOffset };
  }
}

function makeEnd(error: RequestError): GateResult {
  return { kind: "ended", reply: { kind: "failed", error } };
}

function makeWithheldError(permission: Withheld): RequestError {
  const options = { retryAfterMs: CHANGE_RETRY_MS };
  switch (permission.kind) {
    case "not-steward":
      return makeRequestError(
        "owner-changing",
        "The steward of the key's owner changed",
        options,
      );
    case "lease-lapsed":
      return makeRequestError(
        "not-ready",
        "The instance waits for its lease to be renewed",
        options,
      );
    case "owner-changing":
      return permission.why === "unowned"
        ? makeRequestError("no-owner", "No target owns the key yet", options)
        : makeRequestError(
          "owner-changing",
          `The key's owner is changing: ${permission.why}`,
          options,
        );
  }
}
