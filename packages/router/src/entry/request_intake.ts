/**
 * Reads a caller's request: who sends it, which route it takes, which key, id
 * and deadline it has. Everything that can be refused without touching the
 * rest of the system is refused here, before its body is read.
 */
import type {
  AccountTemplateParameters,
  Template,
} from "@lentilspur/declarations/template";
import {
  makeRequestError,
  type RequestError,
  toResendError,
} from "@lentilspur/outcomes/error_kinds";
import { parseRequestId } from "@lentilspur/outcomes/request_id";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { StateSource } from "../state_source.ts";
import type { CallerRequest } from "./caller.ts";
import { CredentialIndex, type KnownAccount } from "./credential_index.ts";
import { DEADLINE_HEADER, findHeader, REQUEST_ID_HEADER } from "./headers.ts";
import { RequestIdMint } from "./request_id_mint.ts";
import { type RouteMatch, RouteTable } from "./route_table.ts";

const MAX_REQUEST_ID_LENGTH = 96;
const DEADLINE_PATTERN = /^[1-9][0-9]{0,8}$/;
/** Epochs last minutes; an entry that follows the log is never one behind for long. */
const MAX_EPOCHS_AHEAD = 1;

/** A request that was understood and is allowed. */
export interface AcceptedRequest {
  readonly requestId: string;
  /** True where this entry minted the id just now. */
  readonly minted: boolean;
  readonly clientAccount: string;
  readonly parameters: AccountTemplateParameters;
  readonly template: Template;
  readonly key: string;
  readonly idempotent: boolean;
  readonly budgetMs: number;
}

type MatchedRoute = Extract<RouteMatch, { readonly kind: "matched" }>;

/** Compiled from one configuration version. */
interface CompiledConfiguration {
  readonly version: number;
  readonly routes: RouteTable;
  readonly credentials: CredentialIndex;
}

export class RequestIntake {
  readonly #state: StateSource;
  readonly #mint: RequestIdMint;
  #compiled: CompiledConfiguration | undefined;

  constructor(options: {
    readonly state: StateSource;
    readonly instanceId: string;
  }) {
    this.#state = options.state;
    this.#mint = new RequestIdMint(options.instanceId);
  }

  /** The client account behind an `authorization` field. */
  findAccount(authorization: string | undefined): KnownAccount | undefined {
    return this.#claimCompiled().credentials.find(authorization);
  }

  mintRequestId(): string {
    return this.#mint.mint(this.#state.getView());
  }

  /** Refusals here are all `not-run`: nothing was passed on yet. */
  parse(request: CallerRequest): Result<AcceptedRequest, RequestError> {
    const { credentials, routes } = this.#claimCompiled();
    const account = credentials.find(
      findHeader(request.headers, "authorization"),
    );
    if (account === undefined) {
      return refuse("unauthenticated", "No client account has this credential");
    }
    const match = checkRoute(routes, request);
    if (!match.ok) {
      return match;
    }
    const { template, route, key } = match.val;
    const parameters = account.templates.get(template.name);
    if (parameters === undefined) {
      return refuse(
        "forbidden-template",
        `Client account '${account.name}' may not use template '${template.name}'`,
      );
    }
    const budget = parseBudget(request, template);
    if (!budget.ok) {
      return budget;
    }
    const id = this.#resolveId(request);
    if (!id.ok) {
      return id;
    }
    return Ok({
      ...id.val,
      clientAccount: account.name,
      parameters,
      template,
      key,
      idempotent: route.idempotent,
      budgetMs: budget.val,
    });
  }

  /**
   * The caller's own id, or a fresh one. An id may be from ahead of what this
   * instance has read, since another one minted it; the steward judges it.
   */
  #resolveId(
    request: CallerRequest,
  ): Result<{ requestId: string; minted: boolean }, RequestError> {
    const requestId = findHeader(request.headers, REQUEST_ID_HEADER);
    if (requestId === undefined) {
      return Ok({ requestId: this.mintRequestId(), minted: true });
    }
    const id = requestId.length > MAX_REQUEST_ID_LENGTH
      ? undefined
      : parseRequestId(requestId);
    if (id === undefined) {
      return refuse(
        "bad-request-id",
        `Request id '${
          requestId.slice(0, MAX_REQUEST_ID_LENGTH)
        }' was minted by no instance`,
      );
    }
    // Guards the stewards' memory against invented epochs, whose records would
    // never expire. Only an instance that lost the log lags by so much.
    if (id.epoch > this.#state.getView().epoch + MAX_EPOCHS_AHEAD) {
      return Err(toResendError(makeRequestError(
        "not-ready",
        `Request id '${requestId}' is newer than what this instance has read`,
      )));
    }
    return Ok({ requestId, minted: false });
  }

  #claimCompiled(): CompiledConfiguration {
    const view = this.#state.getView();
    const version = view.configurationVersion;
    if (this.#compiled?.version !== version) {
      this.#compiled = {
        version,
        routes: new RouteTable(view.listTemplates()),
        credentials: new CredentialIndex(view.listClientAccounts()),
      };
    }
    return this.#compiled;
  }
}

function refuse<T>(
  kind: Parameters<typeof makeRequestError>[0],
  message: string,
): Result<T, RequestError> {
  return Err(makeRequestError(kind, message, { outcome: "not-run" }));
}

function checkRoute(
  routes: RouteTable,
  request: CallerRequest,
): Result<MatchedRoute, RequestError> {
  const match = routes.match(request.method, request.path);
  switch (match.kind) {
    case "matched":
      return Ok(match);
    case "no-route":
      return refuse(
        "no-such-route",
        `No template has a route for ${request.method} '${
          getPlainPath(request.path)
        }'`,
      );
    case "bad-key":
      return refuse(
        "malformed-request",
        `The key '${match.found}' is empty, too long or badly encoded`,
      );
  }
}

function getPlainPath(path: string): string {
  return path.split("?", 1)[0]!;
}

/** The time that the caller waits: its own, within what the template allows. */
function parseBudget(
  request: CallerRequest,
  template: Template,
): Result<number, RequestError> {
  const text = findHeader(request.headers, DEADLINE_HEADER);
  if (text === undefined) {
    return Ok(template.deadlines.defaultMs);
  }
  if (!DEADLINE_PATTERN.test(text)) {
    return refuse(
      "malformed-request",
      `The deadline '${text.slice(0, 20)}' is no whole number of milliseconds`,
    );
  }
  return Ok(Math.min(Number(text), template.deadlines.maxMs));
}
