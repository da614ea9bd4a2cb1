/**
 * What an instance answers of itself, as a service of the local moleculer
 * broker: health, readiness, metrics, status and request ids.
 */
import { makeRequestError } from "@lentilspur/outcomes/error_kinds";
import type { Context, ServiceSchema } from "moleculer";
import { makeErrorAnswer } from "../entry/answers.ts";

const MAX_MINTED_IDS = 1_000;
const COUNT_PATTERN = /^[1-9][0-9]{0,3}$/;

/** What `GET /admin/status` shows. */
export interface InstanceStatus {
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly configurationVersion: number;
  /** Milliseconds since this instance took the version up. */
  readonly inForceSinceMs: number;
  readonly foldedOffset: number;
  readonly leaseHeld: boolean;
  readonly ready: boolean;
}

/** What the endpoints ask the instance for. */
export interface InstanceView {
  getStatus(): InstanceStatus;
  /** Whether an `authorization` field is a client account's. */
  isKnownCaller(authorization: string | undefined): boolean;
  mintRequestId(): string;
  readonly metricsContentType: string;
  renderMetrics(): Promise<string>;
}

/** Set by the HTTP server for each call. */
export interface EndpointMeta {
  readonly authorization?: string;
  $statusCode?: number;
  $responseType?: string;
  $responseHeaders?: Record<string, string>;
}

type EndpointContext = Context<{ readonly count?: string }, EndpointMeta>;

/** Paths and the actions that answer them. */
export const ENDPOINT_ALIASES: Readonly<Record<string, string>> = {
  "GET /healthz": "instance.checkHealth",
  "GET /readyz": "instance.checkReadiness",
  "GET /metrics": "instance.renderMetrics",
  "GET /admin/status": "instance.getStatus",
  "POST /request-ids": "instance.mintRequestIds",
};

export const ENDPOINT_PATHS: ReadonlySet<string> = new Set(
  Object.keys(ENDPOINT_ALIASES).map((alias) => alias.split(" ")[1]!),
);

export function createInstanceService(instance: InstanceView): ServiceSchema {
  return {
    name: "instance",
    actions: {
      checkHealth: () => ({ healthy: true }),
      checkReadiness: (context: EndpointContext) => {
        const { ready, leaseHeld } = instance.getStatus();
        context.meta.$statusCode = ready ? 200 : 503;
        return { ready, leaseHeld };
      },
      renderMetrics: (context: EndpointContext) => {
        context.meta.$responseType = instance.metricsContentType;
        return instance.renderMetrics();
      },
      getStatus: () => instance.getStatus(),
      mintRequestIds: (context: EndpointContext) =>
        mintRequestIds(instance, context),
    },
  };
}

function mintRequestIds(instance: InstanceView, context: EndpointContext) {
  if (!instance.isKnownCaller(context.meta.authorization)) {
    return answerError(
      context,
      "unauthenticated",
      "No client account has this credential",
    );
  }
  const text = context.params.count ?? "1";
  const count = COUNT_PATTERN.test(text) ? Number(text) : 0;
  if (count < 1 || count > MAX_MINTED_IDS) {
    return answerError(
      context,
      "malformed-request",
      `The count '${
        text.slice(0, 20)
      }' is no whole number from 1 to ${MAX_MINTED_IDS}`,
    );
  }
  const requestIds = Array.from(
    { length: count },
    () => instance.mintRequestId(),
  );
  return { requestIds };
}

function answerError(
  context: EndpointContext,
  kind: "unauthenticated" | "malformed-request",
  message: string,
): string {
  const answer = makeErrorAnswer(makeRequestError(kind, message));
  context.meta.$statusCode = answer.status;
  context.meta.$responseHeaders = Object.fromEntries(
    answer.headers.map(({ name, value }) => [name, value]),
  );
  context.meta.$responseType = "application/json";
  return Buffer.from(answer.body).toString();
}
