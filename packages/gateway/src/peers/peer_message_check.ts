/**
 * Checks that a decoded datagram is a complete message with fields of the right
 * types.
 */
import type { TargetIncarnation } from "@lentilspur/routing/target_incarnation";
import type { PermitDecision } from "@lentilspur/routing/request_pacer";
import type { SuspectReport } from "@lentilspur/routing/suspect_report";
import type { Fragment } from "./datagram_fragments.ts";
import type { PeerMessage, PeerStatus } from "./peer_message.ts";
import type { LimitReport } from "../requests/limit_report.ts";

export function isPeerMessage(
  message: PeerMessage | null,
): message is PeerMessage {
  if (message === null || typeof message.from !== "string") {
    return false;
  }
  switch (message.kind) {
    case "load":
      return typeof message.counts?.running === "object" &&
        typeof message.counts.waiting === "object" &&
        Number.isInteger(message.counts.instances) && isPeerStatus(message);
    case "gathered-load":
      return typeof message.dataCentre === "string" &&
        Number.isInteger(message.number) && isFragment(message);
    case "alive":
      return isPeerStatus(message);
    case "member":
      return Number.isInteger(message.offset) &&
        typeof message.record === "string";
    case "keys":
      return Array.isArray(message.keys) &&
        typeof message.service === "string" &&
        typeof message.serviceMs === "object" && message.serviceMs !== null;
    case "targets":
      return Number.isInteger(message.base) && Number.isInteger(message.end) &&
        Number.isFinite(message.ageMs) && Array.isArray(message.records);
    case "configuration":
      return Number.isInteger(message.end) && isFragment(message);
    case "owners":
      return Number.isInteger(message.part) &&
        Number.isInteger(message.offset) && Number.isInteger(message.since) &&
        typeof message.service === "string" && isFragment(message);
    case "table-request":
      return Number.isInteger(message.part);
    case "table":
      return Number.isInteger(message.part) &&
        Number.isInteger(message.offset) &&
        typeof message.service === "string" && isFragment(message);
    case "granted":
      return typeof message.service === "string" &&
        Array.isArray(message.ranges);
    case "demand":
      return Array.isArray(message.demands);
    case "suspects":
      return typeof message.dataCentre === "string" &&
        Array.isArray(message.reports) && message.reports.every(isReport);
    case "limits":
      return typeof message.dataCentre === "string" &&
        Array.isArray(message.limits) && message.limits.every(isLimit);
    case "leaving":
      return typeof message.dataCentre === "string" &&
        isIncarnation(message.target);
    case "quota-request":
      return Number.isInteger(message.number) &&
        typeof message.life === "string" &&
        (message.limit === null || isLimit(message.limit)) &&
        (message.coldPerSecond === null ||
          Number.isFinite(message.coldPerSecond)) &&
        Number.isFinite(message.maxWaitMs) && Number.isFinite(message.share);
    case "quota":
      return Number.isInteger(message.number) && isDecision(message.decision);
    case "pledge-request":
      return Number.isInteger(message.part) && Number.isInteger(message.term) &&
        Number.isInteger(message.number);
    case "pledge":
      return Number.isInteger(message.part) &&
        Number.isInteger(message.number) &&
        typeof message.isGiven === "boolean" &&
        (message.ranForMs === undefined || Number.isFinite(message.ranForMs));
    case "keeper-replaced":
    case "pledge-inquiry":
    case "pledges-over":
      return Number.isInteger(message.part) && Number.isInteger(message.term);
    case "keeper-stopped":
      return Number.isInteger(message.part) &&
        typeof message.incarnation === "string" &&
        typeof message.isClean === "boolean";
    default:
      return false;
  }
}

function isPeerStatus(
  { configurationEnd, hasLostStore, ends, isIsolated = false, lostPaths = 0 }:
    PeerStatus,
): boolean {
  return Number.isInteger(configurationEnd) &&
    typeof hasLostStore === "boolean" &&
    typeof isIsolated === "boolean" && Number.isInteger(lostPaths) &&
    Array.isArray(ends) &&
    ends.every((one) => Array.isArray(one) && one.every(Number.isInteger));
}

function isReport(report: SuspectReport | null): boolean {
  return typeof report?.fingerprint === "string" && report.fingerprint !== "" &&
    isAge(report.clearedAgeMs) && isAge(report.trialAgeMs) &&
    (report.trials === undefined || Number.isInteger(report.trials)) &&
    (report.refuted === undefined ||
      (Array.isArray(report.refuted) &&
        report.refuted.every((one) => typeof one === "string"))) &&
    Array.isArray(report.crashes) && report.crashes.every(isReportedCrash);
}

/** Earlier versions leave out what follows the ages. */
function isReportedCrash(crash: unknown): boolean {
  if (!Array.isArray(crash)) {
    return false;
  }
  const [incarnation, ageMs, sentAgeMs, send = "", provedAgeMs = null] = crash;
  return typeof incarnation === "string" && Number.isFinite(ageMs) &&
    Number.isFinite(sentAgeMs) && typeof send === "string" &&
    isAge(provedAgeMs);
}

function isLimit(limit: LimitReport | null): boolean {
  return typeof limit?.life === "string" && Number.isFinite(limit.ageMs) &&
    (limit.perSecond === null || Number.isFinite(limit.perSecond));
}

function isIncarnation(target: TargetIncarnation | null): boolean {
  return typeof target?.id === "string" && target.id !== "" &&
    (target.bornMs === undefined || Number.isFinite(target.bornMs));
}

function isDecision(decision: PermitDecision | null): boolean {
  if (decision === null || typeof decision !== "object") {
    return false;
  }
  switch (decision.kind) {
    case "granted":
      return Number.isFinite(decision.waitMs);
    case "refused":
      return Number.isFinite(decision.retryAfterMs);
    default:
      return false;
  }
}

function isAge(ageMs: number | null): boolean {
  return ageMs === null || Number.isFinite(ageMs);
}

function isFragment({ text, piece, pieces }: Fragment): boolean {
  return typeof text === "string" && Number.isInteger(piece) &&
    Number.isInteger(pieces);
}
