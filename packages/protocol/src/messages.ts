/**
 * Converts between the ports' types and the generated messages. What a peer
 * sends is not trusted to be well formed: a missing or unknown variant gives
 * `undefined`, which the client reports as a lost call.
 */
import {
  ERROR_ANSWERS,
  type ErrorKind,
  type Outcome,
  type RequestError,
} from "@lentilspur/outcomes/error_kinds";
import type {
  ConsentReply,
  DemandReply,
  ForwardReply,
  ForwardRequest,
  RenewReply,
} from "@lentilspur/ports/peer";
import type {
  ConsentResult,
  Failed,
  ForwardCall,
  ForwardResult,
  RenewResult,
  ReportDemandResult,
} from "./generated/peer.ts";

export function toRenewResult(reply: RenewReply): RenewResult {
  switch (reply.kind) {
    case "pledged":
      return { reply: { $case: "pledged", value: {} } };
    case "revoked":
      return { reply: { $case: "revoked", value: {} } };
    case "unable":
      return {
        reply: { $case: "unable", value: { message: reply.message } },
      };
  }
}

export function toRenewReply(result: RenewResult): RenewReply | undefined {
  const reply = result.reply;
  switch (reply?.$case) {
    case "pledged":
      return { kind: "pledged" };
    case "revoked":
      return { kind: "revoked" };
    case "unable":
      return { kind: "unable", message: reply.value.message };
    case undefined:
      return undefined;
  }
}

export function toConsentResult(reply: ConsentReply): ConsentResult {
  switch (reply.kind) {
    case "consented":
      return { reply: { $case: "consented", value: {} } };
    case "pledged":
      return { reply: { $case: "pledged", value: { forMs: reply.forMs } } };
  }
}

export function toConsentReply(
  result: ConsentResult,
): ConsentReply | undefined {
  const reply = result.reply;
  switch (reply?.$case) {
    case "consented":
      return { kind: "consented" };
    case "pledged":
      return { kind: "pledged", forMs: reply.value.forMs };
    case undefined:
      return undefined;
  }
}

export function toForwardRequest(call: ForwardCall): ForwardRequest {
  const { peerId: _, ...request } = call;
  return request;
}

export function toForwardResult(reply: ForwardReply): ForwardResult {
  switch (reply.kind) {
    case "answered":
      return {
        reply: {
          $case: "answered",
          value: {
            status: reply.answer.status,
            headers: [...reply.answer.headers],
            body: reply.answer.body as Buffer,
            target: reply.target,
          },
        },
      };
    case "failed":
      return { reply: { $case: "failed", value: toFailed(reply.error) } };
    case "not-steward":
      return {
        reply: {
          $case: "notSteward",
          value: { foldedOffset: reply.foldedOffset },
        },
      };
  }
}

export function toForwardReply(
  result: ForwardResult,
): ForwardReply | undefined {
  const reply = result.reply;
  switch (reply?.$case) {
    case "answered": {
      const { target, ...answer } = reply.value;
      return { kind: "answered", answer, target };
    }
    case "failed":
      return { kind: "failed", error: toRequestError(reply.value) };
    case "notSteward":
      return { kind: "not-steward", foldedOffset: reply.value.foldedOffset };
    case undefined:
      return undefined;
  }
}

function toFailed(error: RequestError): Failed {
  return {
    kind: error.kind,
    outcome: error.outcome,
    message: error.message,
    retryAfterMs: error.retryAfterMs,
  };
}

function toRequestError(failed: Failed): RequestError {
  const kind = isErrorKind(failed.kind) ? failed.kind : "internal";
  return {
    kind,
    outcome: toOutcome(failed.outcome),
    message: failed.message,
    ...(failed.retryAfterMs === undefined
      ? {}
      : { retryAfterMs: failed.retryAfterMs }),
  };
}

function isErrorKind(text: string): text is ErrorKind {
  return Object.hasOwn(ERROR_ANSWERS, text);
}

/** An outcome that this version does not know proves nothing. */
function toOutcome(text: string): Outcome {
  return text === "ran" || text === "not-run" ? text : "unknown";
}

export function toDemandResult(reply: DemandReply): ReportDemandResult {
  return {
    others: reply.others.map((each) => ({
      ...each,
      perSecond: [...each.perSecond],
    })),
  };
}
