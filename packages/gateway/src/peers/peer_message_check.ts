/**
 * Decodes datagrams, and checks that each is a complete message with fields of
 * the right types and within bounds.
 */
import {
  decodeJson,
  describeValue,
  isListOf,
  isName,
  isOptional,
  isRecordOf,
  isText,
  isWhole,
  isWithin,
  MAX_NAME_LENGTH,
  toObject,
} from "@lentilspur/outcomes/json_boundary";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import { LAST_KEY } from "@lentilspur/ports/key_orders";
import type { TargetIncarnation } from "@lentilspur/routing/target_incarnation";
import type { PermitDecision } from "@lentilspur/routing/request_pacer";
import type { SuspectReport } from "@lentilspur/routing/suspect_report";
import { isFragment } from "./datagram_fragments.ts";
import type { InstanceDemand } from "@lentilspur/routing/account_limiter";
import type { GrantedKeys, PeerMessage, PeerStatus } from "./peer_message.ts";
import type { LimitReport } from "../requests/limit_report.ts";
import { toLoadCounts } from "./load_counts.ts";
import {
  isBatchOf,
  isOffset,
  MAX_OFFSET,
} from "../views/record_batch_check.ts";

/** The longest datagram. */
const MAX_DATAGRAM_LENGTH = 65_535;
const MAX_PART = 1_000_000;
/** More than fit into a datagram. */
const MAX_ITEMS = 65_535;
/** Ages, waiting times and rates; far more than any that is used. */
const MAX_AMOUNT = 1e12;
/** An id, a fingerprint or the name of a send. */
const MAX_ID_LENGTH = 2 * MAX_NAME_LENGTH;

export function decodePeerMessage(data: Buffer): Result<PeerMessage, string> {
  const decoded = decodeJson(data.toString("utf8"), {
    maxLength: MAX_DATAGRAM_LENGTH,
  });
  if (!decoded.ok) {
    return Err(`The datagram ${decoded.val}`);
  }
  const message = decoded.val as PeerMessage | null;
  return isPeerMessage(message) ? Ok(message) : Err(
    `The datagram is no complete message of kind ${
      describeValue(toObject(decoded.val)["kind"])
    }`,
  );
}

export function isPeerMessage(
  message: PeerMessage | null,
): message is PeerMessage {
  if (message === null || !isName(message.from)) {
    return false;
  }
  switch (message.kind) {
    case "load":
      return toLoadCounts(message.counts) !== undefined &&
        isPeerStatus(message);
    case "gathered-load":
      return isName(message.dataCentre) && isNumber(message.number) &&
        isFragment(message);
    case "alive":
      return isPeerStatus(message);
    case "member":
      return isOffset(message.offset) &&
        isText(message.record, MAX_DATAGRAM_LENGTH);
    case "keys":
      return isListOf(message.keys, isKey, MAX_ITEMS) &&
        isName(message.service) && isRecordOf(message.serviceMs, isAmount);
    case "targets":
      return isBatchOf(message.base, message.end, message.records) &&
        isAmount(message.ageMs) &&
        (message.sinceOutageMs === null || isAmount(message.sinceOutageMs));
    case "configuration":
      return isOffset(message.end) && isFragment(message);
    case "owners":
      return isPart(message.part) && isOffset(message.offset) &&
        isOffset(message.since) &&
        (message.service === "" || isName(message.service)) &&
        isFragment(message);
    case "table-request":
      return isPart(message.part);
    case "table":
      return isPart(message.part) && isOffset(message.offset) &&
        isName(message.service) && isFragment(message);
    case "granted":
      return isName(message.service) &&
        isListOf(message.ranges, isGrantedKeys, MAX_ITEMS);
    case "demand":
      return isListOf(message.demands, isDemand, MAX_ITEMS);
    case "suspects":
      return isName(message.dataCentre) &&
        Array.isArray(message.reports) && message.reports.every(isReport);
    case "limits":
      return isName(message.dataCentre) &&
        Array.isArray(message.limits) && message.limits.every(isLimit);
    case "leaving":
      return isName(message.dataCentre) &&
        isIncarnation(message.target);
    case "quota-request":
      return isNumber(message.number) &&
        isText(message.life, MAX_ID_LENGTH) &&
        (message.limit === null || isLimit(message.limit)) &&
        (message.coldPerSecond === null ||
          isAmount(message.coldPerSecond)) &&
        isTimeLeft(message.maxWaitMs) && isAmount(message.share);
    case "quota":
      return isNumber(message.number) && isDecision(message.decision);
    case "pledge-request":
      return isPart(message.part) && isOffset(message.term) &&
        isNumber(message.number);
    case "pledge":
      return isPart(message.part) &&
        isNumber(message.number) &&
        typeof message.isGiven === "boolean" &&
        isOptional(message.ranForMs, isAmount);
    case "keeper-replaced":
    case "pledge-inquiry":
    case "pledges-over":
      return isPart(message.part) && isOffset(message.term);
    case "keeper-stopped":
      return isPart(message.part) &&
        isText(message.incarnation, MAX_NAME_LENGTH) &&
        typeof message.isClean === "boolean";
    default:
      return false;
  }
}

function isPeerStatus(
  { configurationEnd, hasLostStore, ends, isIsolated = false, lostPaths = 0 }:
    PeerStatus,
): boolean {
  return isOffset(configurationEnd) &&
    typeof hasLostStore === "boolean" &&
    typeof isIsolated === "boolean" && isNumber(lostPaths) &&
    isListOf(ends, isPartEnd, MAX_ITEMS);
}

function isReport(report: SuspectReport | null): boolean {
  return isText(report?.fingerprint, MAX_ID_LENGTH) &&
    report?.fingerprint !== "" &&
    isAge(report.clearedAgeMs) && isAge(report.trialAgeMs) &&
    isOptional(report.trials, isNumber) &&
    (report.refuted === undefined ||
      (Array.isArray(report.refuted) &&
        report.refuted.every((one) => isText(one, MAX_ID_LENGTH)))) &&
    Array.isArray(report.crashes) && report.crashes.every(isReportedCrash);
}

/** Earlier versions leave out what follows the ages. */
function isReportedCrash(crash: unknown): boolean {
  if (!Array.isArray(crash)) {
    return false;
  }
  const [incarnation, ageMs, sentAgeMs, send = "", provedAgeMs = null] = crash;
  return isText(incarnation, MAX_ID_LENGTH) && isAmount(ageMs) &&
    isAmount(sentAgeMs) && isText(send, MAX_ID_LENGTH) &&
    isAge(provedAgeMs);
}

function isLimit(limit: LimitReport | null): boolean {
  return isText(limit?.life, MAX_ID_LENGTH) && isAmount(limit?.ageMs) &&
    (limit?.perSecond === null || isAmount(limit?.perSecond));
}

function isIncarnation(target: TargetIncarnation | null): boolean {
  return isName(target?.id) &&
    isOptional(target?.bornMs, isOffset);
}

function isDecision(decision: PermitDecision | null): boolean {
  if (decision === null || typeof decision !== "object") {
    return false;
  }
  switch (decision.kind) {
    case "granted":
      return isTimeLeft(decision.waitMs);
    case "refused":
      return isTimeLeft(decision.retryAfterMs);
    default:
      return false;
  }
}

function isAge(ageMs: number | null): boolean {
  return ageMs === null || isAmount(ageMs);
}

/** Whether the value can be a number of messages, trials or paths. */
function isNumber(value: unknown): value is number {
  return isWhole(value, { max: MAX_OFFSET });
}

function isPart(value: unknown): value is number {
  return isWhole(value, { max: MAX_PART });
}

function isKey(value: unknown): value is number {
  return isWhole(value, { max: LAST_KEY });
}

function isAmount(value: unknown): value is number {
  return isWithin(value, MAX_AMOUNT);
}

/** Whether the value can be a waiting time, of which less than 0 is left. */
function isTimeLeft(value: unknown): value is number {
  return typeof value === "number" && Math.abs(value) <= MAX_AMOUNT;
}

function isPartEnd(value: unknown): value is readonly [number, number] {
  return Array.isArray(value) && value.length === 2 && isPart(value[0]) &&
    isOffset(value[1]);
}

function isGrantedKeys(value: unknown): value is GrantedKeys {
  return Array.isArray(value) && value.length === 3 && isKey(value[0]) &&
    isKey(value[1]) && isOffset(value[2]);
}

function isDemand(value: unknown): value is InstanceDemand {
  const { clientAccount, service, perSecond } = toObject(value);
  return isName(clientAccount) && isName(service) && isAmount(perSecond);
}
