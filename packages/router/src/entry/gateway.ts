/**
 * The path of a caller's request through its entry, top to bottom: understand
 * it, admit it, pass it to the steward, answer. It knows no network.
 */
import {
  ERROR_ANSWERS,
  type ErrorKind,
  makeRequestError,
  type RequestError,
  toResendError,
} from "@lentilspur/outcomes/error_kinds";
import type { Clock } from "@lentilspur/ports/clock";
import type {
  DemandReply,
  DemandReport,
  PeerPort,
} from "@lentilspur/ports/peer";
import { AccountLimiter } from "@lentilspur/policy/account_limiter";
import type { DecisionSink } from "@lentilspur/proof/decision_line";
import type { StateSource } from "../state_source.ts";
import { makeErrorAnswer, makeTargetAnswer } from "./answers.ts";
import type { CallerAnswer, CallerRequest } from "./caller.ts";
import { DemandExchange } from "./demand_exchange.ts";
import { listPassedOn } from "./headers.ts";
import { type AcceptedRequest, RequestIntake } from "./request_intake.ts";
import {
  type FinalReply,
  type LocalSteward,
  StewardCaller,
} from "./steward_caller.ts";

export interface GatewayOptions {
  readonly instanceId: string;
  readonly state: StateSource;
  readonly local: LocalSteward;
  readonly peers: PeerPort;
  readonly clock: Clock;
  readonly decisions: DecisionSink;
  readonly maxChangeWaitMs: number;
  /** Told of refusals that leave no decision line, for the metrics. */
  readonly recordEarlyRefusal?: (kind: ErrorKind) => void;
}

interface Refusal {
  readonly error: RequestError;
  /** Which limit refused the request, for the decision line. */
  readonly limit?: string;
}

export class Gateway {
  readonly #options: GatewayOptions;
  readonly #intake: RequestIntake;
  readonly #caller: StewardCaller;
  readonly #limiter = new AccountLimiter({ instanceCount: 1 });
  readonly #exchange: DemandExchange;
  #countedOffset = -1;

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#intake = new RequestIntake(options);
    this.#caller = new StewardCaller(options);
    this.#exchange = new DemandExchange({ ...options, limiter: this.#limiter });
  }

  /** Exchanges accounts' demand with the other entries until it aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await this.#exchange.run(signal);
  }

  /** Another entry tells what it sees of the accounts at home here. */
  handleDemand(report: DemandReport): DemandReply {
    return this.#exchange.handleReport(report);
  }

  /** Who callers are, and ids for them. */
  get intake(): RequestIntake {
    return this.#intake;
  }

  /** Answers one request; never rejects. */
  async handle(
    request: CallerRequest,
    signal: AbortSignal,
  ): Promise<CallerAnswer> {
    const startedAtMs = this.#options.clock.readMs();
    const accepted = this.#intake.parse(request);
    if (!accepted.ok) {
      this.#options.recordEarlyRefusal?.(accepted.val.kind);
      return makeErrorAnswer(accepted.val);
    }
    const refusal = this.#admit(accepted.val, startedAtMs);
    if (refusal !== undefined) {
      const { minted, idempotent, requestId } = accepted.val;
      const isFirst = minted || idempotent;
      const error = isFirst ? refusal.error : toResendError(refusal.error);
      const reply = { kind: "failed", error } as const;
      this.#logAnswered(accepted.val, reply, startedAtMs, refusal.limit);
      return makeErrorAnswer(error, requestId);
    }
    try {
      return await this.#answer(accepted.val, request, { startedAtMs, signal });
    } finally {
      const { clientAccount, template } = accepted.val;
      this.#limiter.release(clientAccount, template.name);
    }
  }

  async #answer(
    accepted: AcceptedRequest,
    request: CallerRequest,
    options: { readonly startedAtMs: number; readonly signal: AbortSignal },
  ): Promise<CallerAnswer> {
    const { requestId, budgetMs, template } = accepted;
    const body = await request.body.read(template.limits.maxBodyBytes);
    const reply: FinalReply = body.ok
      ? await this.#caller.forward(accepted, {
        method: request.method,
        path: request.path,
        headers: listPassedOn(request.headers),
        body: body.val,
      }, {
        signal: options.signal,
        deadlineAtMs: options.startedAtMs + budgetMs,
      })
      : { kind: "failed", error: body.val };
    this.#logAnswered(accepted, reply, options.startedAtMs);
    return reply.kind === "answered"
      ? makeTargetAnswer(reply.answer, requestId)
      : makeErrorAnswer(reply.error, requestId);
  }

  /** Undefined where the request is let in; then `release` must follow. */
  #admit(accepted: AcceptedRequest, nowMs: number): Refusal | undefined {
    this.#updateInstanceCount();
    const { clientAccount, template, parameters } = accepted;
    const decision = this.#limiter.offer(
      clientAccount,
      template.name,
      parameters,
      nowMs,
    );
    if (decision.kind === "admitted") {
      return undefined;
    }
    const { limit, retryAfterMs } = decision;
    const error = makeRequestError(
      "account-over-limit",
      `The request is over ${limit}`,
      { retryAfterMs },
    );
    return { error, limit };
  }

  /** Each instance admits its share of an account's rate. */
  #updateInstanceCount(): void {
    const view = this.#options.state.getView();
    if (view.nextOffset !== this.#countedOffset) {
      this.#countedOffset = view.nextOffset;
      this.#limiter.setInstanceCount(view.listMembers().length);
    }
  }

  #logAnswered(
    accepted: AcceptedRequest,
    reply: FinalReply,
    startedAtMs: number,
    limit?: string,
  ): void {
    const { requestId, clientAccount, template, key, idempotent } = accepted;
    const tookMs = this.#options.clock.readMs() - startedAtMs;
    this.#options.decisions.log({
      requestId,
      clientAccount,
      template: template.name,
      key,
      idempotent,
      decision: "request-answered",
      ...describeReply(reply),
      ...(limit === undefined ? {} : { limit }),
      tookMs: Math.round(tookMs * 10) / 10,
    });
  }
}

function describeReply(reply: FinalReply) {
  if (reply.kind === "answered") {
    return { outcome: "ran", status: reply.answer.status } as const;
  }
  const { kind, outcome, retryAfterMs } = reply.error;
  return {
    outcome,
    status: ERROR_ANSWERS[kind].status,
    errorKind: kind,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}
