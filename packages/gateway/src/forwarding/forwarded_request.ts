/**
 * The messages by which an instance forwards a request to another instance, the
 * peer, which carries out one attempt of it. Each message is JSON in one line,
 * followed by the body of the request or of the target's response.
 */
import {
  decodeJson,
  isBoolean,
  isListOf,
  isObject,
  isOptional,
  isWhole,
  toObject,
} from "@lentilspur/outcomes/json_boundary";
import type { ErrorKind } from "@lentilspur/outcomes/error_kinds";
import type { HeaderField } from "@lentilspur/ports/header_field";
import type { SendOutcome } from "@lentilspur/ports/request_sender";
import type { AccountShare } from "@lentilspur/routing/fair_scheduler";
import type { RefusingOwner } from "../requests/request_context.ts";

export interface ForwardedRequest {
  /** Name and incarnation of the instance that forwards the request. */
  readonly from: string;
  readonly incarnation: string;
  readonly requestId: string;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly key?: number;
  /** The service that the instance has chosen for the request. */
  readonly service: string;
  readonly share?: AccountShare;
  /** How long the caller still waits, counted from the arrival of this. */
  readonly remainingMs: number;
  /** How long ago the request arrived at the instance that forwards it. */
  readonly elapsedMs: number;
  /** Number of earlier sends that count towards `maxAttempts`. */
  readonly sends: number;
  readonly excludedTargets: readonly string[];
  readonly refusingOwner: RefusingOwner | null;
  readonly isTrial: boolean;
  /**
   * The fingerprint of the request at the instance that forwards it, which knows
   * its caller; missing from earlier versions.
   */
  readonly fingerprint?: string;
  readonly body: Uint8Array;
}

/** Why a peer could not try to send a request; another peer may be able to. */
export type UnableReason =
  /** No member record names the instance that forwards the request. */
  | "unknown-sender"
  /** The message is not a complete forwarded request. */
  | "malformed"
  /** The peer has no such route and service in force. */
  | "configuration"
  | "stopping"
  /** The peer has no memory left for the body. */
  | "memory"
  /** No target has responded to the peer lately. */
  | "isolated"
  /** The peer has lost its own paths to the targets that may run the request. */
  | "path-lost";

export type ForwardReply =
  | {
    readonly kind: "sent";
    readonly targetId: string;
    /** Fencing token of the owner's grant. */
    readonly token?: number;
    readonly outcome: SendOutcome;
    /**
     * Whether the peer aborted the send because its response was overdue; the
     * peer has taken a retry from its budget for this.
     */
    readonly isOverdue: boolean;
  }
  /** The request was not sent, and another peer would not send it either. */
  | {
    readonly kind: "refused";
    readonly failure: ErrorKind;
    readonly message: string;
    readonly retryAfterMs?: number;
  }
  /** The request was not sent. */
  | { readonly kind: "unable"; readonly reason: UnableReason };

/** Asks a peer whether it reaches a target. */
export interface ReachQuery {
  /** Name and incarnation of the instance that asks. */
  readonly from: string;
  readonly incarnation: string;
  readonly targetId: string;
}

export type ReachAnswer =
  | "reached"
  | "unreached"
  /** The peer does not know the target, or has lost all of its own paths. */
  | "unknown";

const REACH_ANSWERS: readonly string[] = [
  "reached",
  "unreached",
  "unknown",
] satisfies readonly ReachAnswer[];
const NEWLINE = 10;
/** Final statuses, see RFC 9110. */
const FIRST_STATUS = 200;
const LAST_STATUS = 599;
const FIELD_NAME = /^[!#$%&'*+\-.^_`|~0-9a-z]+$/i;
const FIELD_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;
/** The line before the body, with all headers of a request or response. */
const MAX_HEAD_LENGTH = 1_048_576;
const MAX_ITEMS = 100_000;
/** Far more than any time; tokens follow offsets. */
const MAX_AMOUNT = 2 ** 52;

/** Undefined if the text is no complete query. */
export function parseReachQuery(text: string): ReachQuery | undefined {
  const query = parseObject<ReachQuery>(text);
  return typeof query?.from === "string" &&
      typeof query.incarnation === "string" &&
      typeof query.targetId === "string"
    ? query as ReachQuery
    : undefined;
}

/** An answer that is not valid counts as `unknown`. */
export function parseReachAnswer(text: string): ReachAnswer {
  return REACH_ANSWERS.includes(text) ? text as ReachAnswer : "unknown";
}

export function encodeForwardedRequest(
  { body, ...fields }: ForwardedRequest,
): Uint8Array {
  return encodeMessage(fields, body);
}

export function decodeForwardedRequest(
  bytes: Uint8Array,
): ForwardedRequest | undefined {
  const message = decodeMessage<Omit<ForwardedRequest, "body">>(bytes);
  return message !== undefined && isForwardedRequest(message.fields)
    ? { ...message.fields, body: message.body }
    : undefined;
}

export function encodeForwardReply(reply: ForwardReply): Uint8Array {
  if (reply.kind !== "sent" || reply.outcome.kind !== "answered") {
    return encodeMessage(reply, new Uint8Array(0));
  }
  const { body, ...outcome } = reply.outcome;
  return encodeMessage({ ...reply, outcome }, body);
}

export function decodeForwardReply(
  bytes: Uint8Array,
): ForwardReply | undefined {
  const message = decodeMessage<ForwardReply>(bytes);
  if (message === undefined || !isForwardReply(message.fields)) {
    return undefined;
  }
  const { fields: reply, body } = message;
  return reply.kind === "sent" && reply.outcome.kind === "answered"
    ? { ...reply, outcome: { ...reply.outcome, body } }
    : reply;
}

function encodeMessage(fields: object, body: Uint8Array): Uint8Array {
  return Buffer.concat([Buffer.from(`${JSON.stringify(fields)}\n`), body]);
}

function decodeMessage<Fields>(
  bytes: Uint8Array,
): { readonly fields: Partial<Fields>; readonly body: Uint8Array } | undefined {
  const end = bytes.indexOf(NEWLINE);
  const text = Buffer.from(bytes.subarray(0, end)).toString("utf8");
  const fields = parseObject<Fields>(text);
  return fields === undefined
    ? undefined
    : { fields, body: bytes.subarray(end + 1) };
}

function parseObject<Fields>(text: string): Partial<Fields> | undefined {
  const decoded = decodeJson(text, { maxLength: MAX_HEAD_LENGTH });
  return decoded.ok && isObject(decoded.val)
    ? decoded.val as Partial<Fields>
    : undefined;
}

function isForwardedRequest(
  fields: Partial<Omit<ForwardedRequest, "body">>,
): fields is Omit<ForwardedRequest, "body"> {
  const texts = [
    fields.from,
    fields.incarnation,
    fields.requestId,
    fields.method,
    fields.host,
    fields.path,
    fields.service,
  ];
  const numbers = [fields.remainingMs, fields.elapsedMs, fields.sends];
  return texts.every(isString) && numbers.every(isNumber) &&
    isListOf(fields.headers, isHeaderField, MAX_ITEMS) &&
    isListOf(fields.excludedTargets, isString, MAX_ITEMS) &&
    (fields.refusingOwner === null || isRefusingOwner(fields.refusingOwner)) &&
    isOptional(fields.share, isShare) && isBoolean(fields.isTrial) &&
    isOptional(fields.fingerprint, isString) &&
    isOptional(fields.key, isWholeNumber);
}

function isForwardReply(reply: Partial<ForwardReply>): reply is ForwardReply {
  switch (reply.kind) {
    case "sent":
      return isString(reply.targetId) && isOptional(reply.token, isNumber) &&
        isSendOutcome(reply.outcome);
    case "refused":
      return isString(reply.failure) && isString(reply.message) &&
        isOptional(reply.retryAfterMs, isNumber);
    case "unable":
      return typeof reply.reason === "string";
    case undefined:
    default:
      return false;
  }
}

function isSendOutcome(value: unknown): boolean {
  const { kind, status, headers, cause, message } = toObject(value);
  switch (kind) {
    case "answered":
      return isWhole(status, { min: FIRST_STATUS, max: LAST_STATUS }) &&
        isListOf(headers, isHeaderField, MAX_ITEMS);
    case "not-run":
    case "unknown":
      return isString(cause) && isString(message);
    default:
      return false;
  }
}

function isHeaderField(value: unknown): value is HeaderField {
  const { name, value: content } = toObject(value);
  return isString(name) && FIELD_NAME.test(name) &&
    isString(content) && FIELD_VALUE.test(content);
}

function isRefusingOwner(value: unknown): value is RefusingOwner {
  const { targetId, token } = toObject(value);
  return isString(targetId) && isWholeNumber(token);
}

function isShare(value: unknown): value is AccountShare {
  const { clientAccount, weight } = toObject(value);
  return isString(clientAccount) && isNumber(weight);
}

/** The length of the whole message bounds the text. */
function isString(value: unknown): value is string {
  return typeof value === "string";
}

function isNumber(value: unknown): value is number {
  return typeof value === "number" && Math.abs(value) <= MAX_AMOUNT;
}

function isWholeNumber(value: unknown): value is number {
  return isWhole(value, { max: MAX_AMOUNT });
}
