/**
 * Passes a request to the steward of its key's owner, and goes on until there
 * is an answer or the time is over. It may forward again freely: the steward
 * remembers request ids.
 */
import {
  makeRequestError,
  type RequestError,
  toResendError,
} from "@lentilspur/outcomes/error_kinds";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import type {
  ForwardReply,
  ForwardRequest,
  PeerAddress,
  PeerFailure,
  PeerPort,
} from "@lentilspur/ports/peer";
import type { HeaderField } from "@lentilspur/ports/target";
import type { DecisionSink } from "@lentilspur/proof/decision_line";
import type { KeyLocation } from "@lentilspur/state/view";
import type { StateSource } from "../state_source.ts";
import type { AcceptedRequest } from "./request_intake.ts";
import {
  makeCancelledError,
  makeChangingError,
  makeDeadlineError,
  makeLostError,
  makeUnownedError,
} from "./steward_errors.ts";

/** A change of the fold wakes the wait at once; this only bounds it. */
const REPLACEMENT_POLL_MS = 1_000;
/** An answer that left the old steward before the change is here by then. */
const LATE_ANSWER_MS = 100;
/** Between two looks at a steward that declines or cannot be reached. */
const RETRY_PAUSE_MS = 50;
/** Forwards that may get lost before the caller is told `unknown`. */
const MAX_LOST_FORWARDS = 2;
/** The local steward, for keys that this instance serves itself. */
export interface LocalSteward {
  forward(request: ForwardRequest, signal: AbortSignal): Promise<ForwardReply>;
}

export type FinalReply = Exclude<
  ForwardReply,
  { readonly kind: "not-steward" }
>;

export interface StewardCallerOptions {
  readonly instanceId: string;
  readonly state: StateSource;
  readonly local: LocalSteward;
  readonly peers: PeerPort;
  readonly clock: Clock;
  readonly decisions: DecisionSink;
  readonly maxChangeWaitMs: number;
}

/** What is passed on, whoever the steward is. */
export interface CallContent {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

interface CallProgress {
  readonly accepted: AcceptedRequest;
  readonly content: CallContent;
  readonly signal: AbortSignal;
  readonly deadlineAtMs: number;
  readonly giveUpAtMs: number;
  /** Forwards of which it is not known whether they were delivered. */
  lost: number;
}

type Step = FinalReply | { readonly kind: "again"; readonly why: RequestError };

export class StewardCaller {
  readonly #options: StewardCallerOptions;

  constructor(options: StewardCallerOptions) {
    this.#options = options;
  }

  async forward(
    accepted: AcceptedRequest,
    content: CallContent,
    options: { readonly signal: AbortSignal; readonly deadlineAtMs: number },
  ): Promise<FinalReply> {
    const now = this.#options.clock.readMs();
    const progress: CallProgress = {
      accepted,
      content,
      ...options,
      giveUpAtMs: Math.min(
        options.deadlineAtMs,
        now + this.#options.maxChangeWaitMs,
      ),
      lost: 0,
    };
    for (;;) {
      const step = await this.#forwardOnce(progress);
      if (step.kind !== "again") {
        return settleReply(step, progress);
      }
      if (options.signal.aborted) {
        return this.#fail(makeCancelledError(progress.lost), progress);
      }
      if (this.#options.clock.readMs() >= progress.giveUpAtMs) {
        return this.#fail(step.why, progress);
      }
    }
  }

  async #forwardOnce(progress: CallProgress): Promise<Step> {
    const { state } = this.#options;
    const { template, key } = progress.accepted;
    const location = state.getView().locateKey(template.name, key);
    const steward = location?.target?.steward ?? null;
    if (location === undefined || steward === null) {
      await this.#waitForFold(progress);
      return { kind: "again", why: makeUnownedError(location) };
    }
    const remainingMs = progress.deadlineAtMs - this.#options.clock.readMs();
    if (remainingMs <= 0) {
      return this.#fail(makeDeadlineError(), progress);
    }
    const sent = await this.#send(progress, location, steward, remainingMs);
    if (sent.ok) {
      return await this.#checkReply(progress, sent.val);
    }
    return await this.#checkFailure(progress, sent.val, steward);
  }

  async #send(
    progress: CallProgress,
    location: KeyLocation,
    steward: string,
    remainingMs: number,
  ): Promise<Result<ForwardReply, PeerFailure>> {
    const { instanceId, state, local } = this.#options;
    const request = this.#makeRequest(progress, remainingMs);
    this.#logRouted(request, location, steward);
    if (steward === instanceId) {
      return Ok(await local.forward(request, progress.signal));
    }
    const member = state.getView().getMember(steward);
    if (member === undefined) {
      return Ok({ kind: "not-steward", foldedOffset: 0 });
    }
    const peer = { id: steward, address: member.instance.peerAddress };
    return await this.#forwardUnlessReplaced(progress, peer, request);
  }

  /**
   * Guards against waiting out the deadline for a steward that is paused or
   * gone: it shows as a fold that names another one. Its answer may be on its
   * way, so it gets a moment more.
   */
  async #forwardUnlessReplaced(
    progress: CallProgress,
    peer: PeerAddress,
    request: ForwardRequest,
  ): Promise<Result<ForwardReply, PeerFailure>> {
    const ended = new AbortController();
    const signal = AbortSignal.any([progress.signal, ended.signal]);
    const call = this.#options.peers.forward(peer, request, signal);
    const replaced = this.#waitForReplacement(request, peer.id, ended.signal);
    const result = await Promise.race([call, replaced]);
    ended.abort();
    return result ?? Err({
      kind: "lost",
      message: "another steward has taken its place",
    });
  }

  async #waitForReplacement(
    request: ForwardRequest,
    steward: string,
    signal: AbortSignal,
  ): Promise<undefined> {
    const { state, clock } = this.#options;
    const { template, key } = request;
    const isPresent = (): boolean =>
      state.getView().locateKey(template, key)?.target?.steward === steward;
    while (!signal.aborted && isPresent()) {
      await state.waitForFold(REPLACEMENT_POLL_MS, signal);
    }
    await clock.sleep(LATE_ANSWER_MS, signal);
    return undefined;
  }

  async #checkReply(
    progress: CallProgress,
    reply: ForwardReply,
  ): Promise<Step> {
    if (reply.kind !== "not-steward") {
      return reply;
    }
    await this.#waitForFold(progress);
    return { kind: "again", why: makeChangingError() };
  }

  /**
   * A steward that cannot be reached is asked again until its take-over. After
   * a loss, one more forward finds out whether only the connection was lost;
   * a non-idempotent request whose steward is gone is unknown at once, since
   * the next steward could say no more.
   */
  async #checkFailure(
    progress: CallProgress,
    failure: PeerFailure,
    steward: string,
  ): Promise<Step> {
    const why = makeLostError(steward, failure);
    switch (failure.kind) {
      case "not-sent":
        if (progress.lost > 0 && !progress.accepted.idempotent) {
          return this.#fail(why, progress);
        }
        await this.#waitForFold(progress);
        return { kind: "again", why };
      case "lost":
        progress.lost++;
        return progress.lost < MAX_LOST_FORWARDS
          ? { kind: "again", why }
          : this.#fail(why, progress);
    }
  }

  async #waitForFold(progress: CallProgress): Promise<void> {
    const leftMs = progress.giveUpAtMs - this.#options.clock.readMs();
    const pauseMs = Math.max(0, Math.min(RETRY_PAUSE_MS, leftMs));
    await this.#options.state.waitForFold(pauseMs, progress.signal);
  }

  /** An end that no steward has judged by its memory. */
  #fail(error: RequestError, progress: CallProgress): FinalReply {
    const { minted, idempotent } = progress.accepted;
    const isFirst = minted || idempotent;
    return settleReply(
      makeFailed(isFirst ? error : toResendError(error)),
      progress,
    );
  }

  #makeRequest(progress: CallProgress, remainingMs: number): ForwardRequest {
    const { accepted, content } = progress;
    return {
      requestId: accepted.requestId,
      firstSend: accepted.minted && progress.lost === 0,
      clientAccount: accepted.clientAccount,
      template: accepted.template.name,
      key: accepted.key,
      idempotent: accepted.idempotent,
      ...content,
      remainingMs,
      foldedOffset: this.#options.state.getView().nextOffset,
    };
  }

  #logRouted(
    request: ForwardRequest,
    location: KeyLocation,
    steward: string,
  ): void {
    const { requestId, clientAccount, template, key, idempotent } = request;
    this.#options.decisions.log({
      requestId,
      clientAccount,
      template,
      key,
      idempotent,
      decision: "request-routed",
      unit: location.unit.unit,
      target: location.unit.owner ?? "",
      steward,
      firstSend: request.firstSend,
    });
  }
}

function makeFailed(error: RequestError): FinalReply {
  return { kind: "failed", error };
}

/**
 * Guards against a forward that was lost and arrives late: the second one may
 * have been refused as not run, and the first may still run. Once a forward
 * was lost, nothing proves that the request did not run.
 */
function settleReply(reply: FinalReply, progress: CallProgress): FinalReply {
  if (
    progress.lost === 0 || reply.kind === "answered" ||
    reply.error.outcome !== "not-run"
  ) {
    return reply;
  }
  return makeFailed(makeRequestError(
    "steward-lost",
    `A steward was lost with the request; then: ${reply.error.message}`,
    { outcome: "unknown" },
  ));
}
