/**
 * What one instance asks of another. The inner protocol carries these calls;
 * fakes carry them in tests.
 */
import type { RequestError } from "@lentilspur/outcomes/error_kinds";
import type { Position } from "@lentilspur/outcomes/position";
import type { Result } from "@lentilspur/outcomes/result";
import type { HeaderField, TargetAnswer } from "./target.ts";

export interface PeerAddress {
  /** New for each start of a process. */
  readonly id: string;
  /** `host:port`, by IP number. */
  readonly address: string;
}

/** A holder asks a guardian not to consent to its take-over for `leaseMs`. */
export interface RenewRequest {
  readonly holder: string;
  readonly leaseMs: number;
  /** How far the holder has folded the log: a load-free progress report. */
  readonly foldedOffset: number;
}

export type RenewReply =
  | { readonly kind: "pledged" }
  /** The guardian has consented to a take-over of this holder, for good. */
  | { readonly kind: "revoked" }
  /** The guardian's own lease is not valid, or it does not act any more. */
  | { readonly kind: "unable"; readonly message: string };

/** A successor asks a guardian to give a silent holder up for good. */
export interface ConsentRequest {
  readonly holder: string;
  readonly successor: string;
}

export type ConsentReply =
  | { readonly kind: "consented" }
  /** The pledge still stands; ask again after this time. */
  | { readonly kind: "pledged"; readonly forMs: number };

/** A caller's request on its way from the entry to the steward. */
export interface ForwardRequest {
  readonly requestId: string;
  /**
   * True when the entry minted the id for this very request and has not sent
   * it to any steward before: nobody can have seen it.
   */
  readonly firstSend: boolean;
  readonly clientAccount: string;
  readonly template: string;
  readonly key: string;
  readonly idempotent: boolean;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  readonly remainingMs: number;
  /** How far the entry has folded; a steward behind it catches up first. */
  readonly foldedOffset: number;
}

export type ForwardReply =
  | {
    readonly kind: "answered";
    readonly answer: TargetAnswer;
    readonly target: string;
  }
  | { readonly kind: "failed"; readonly error: RequestError }
  /** This instance does not steward the key; nothing was done. */
  | { readonly kind: "not-steward"; readonly foldedOffset: number };

/** Memory of handled request ids, given to the next steward of a unit. */
export interface TransferRequest {
  readonly template: string;
  readonly target: string;
  readonly units: readonly string[];
  /**
   * The accepted change that this memory is complete up to: the new unit token
   * of a released move, or the new steward token of a hand-over.
   */
  readonly token: Position;
  /** Ids minted before this position may be missing from `remembered`. */
  readonly completeSince: Position;
  readonly remembered: readonly RememberedRequest[];
}

export interface RememberedRequest {
  readonly clientAccount: string;
  readonly requestId: string;
  readonly unit: string;
}

/** What a steward has seen of its targets' load, for the template's planner. */
export interface LoadReport {
  readonly reporter: string;
  readonly template: string;
  /** The heaviest units, in places kept busy. */
  readonly units: readonly UnitLoad[];
  /** Keys that are hot and were served under their shard. */
  readonly hotKeys: readonly KeyLoad[];
}

/** How much of its accounts' traffic an entry sees, in requests a second. */
export interface DemandReport {
  readonly reporter: string;
  readonly demands: readonly AccountDemand[];
}

export interface AccountDemand {
  readonly clientAccount: string;
  readonly template: string;
  readonly perSecond: number;
}

/** What the other entries see of the same accounts. */
export interface DemandReply {
  readonly others: readonly OtherDemands[];
}

export interface OtherDemands {
  readonly clientAccount: string;
  readonly template: string;
  /** One figure for each other member; 0 where it has reported none. */
  readonly perSecond: readonly number[];
}

export interface UnitLoad {
  readonly unit: string;
  readonly places: number;
}

export interface KeyLoad {
  readonly key: string;
  readonly places: number;
}

export type PeerFailure =
  /** Proved not delivered: no connection was made. */
  | { readonly kind: "not-sent"; readonly message: string }
  /** It may have been delivered. */
  | { readonly kind: "lost"; readonly message: string };

export interface PeerPort {
  renew(
    peer: PeerAddress,
    request: RenewRequest,
  ): Promise<Result<RenewReply, PeerFailure>>;
  consent(
    peer: PeerAddress,
    request: ConsentRequest,
  ): Promise<Result<ConsentReply, PeerFailure>>;
  forward(
    peer: PeerAddress,
    request: ForwardRequest,
    signal: AbortSignal,
  ): Promise<Result<ForwardReply, PeerFailure>>;
  transfer(
    peer: PeerAddress,
    request: TransferRequest,
  ): Promise<Result<void, PeerFailure>>;
  /** Best effort: a lost report is followed by the next. */
  reportLoad(
    peer: PeerAddress,
    report: LoadReport,
  ): Promise<Result<void, PeerFailure>>;
  reportDemand(
    peer: PeerAddress,
    report: DemandReport,
  ): Promise<Result<DemandReply, PeerFailure>>;
}

/** What an instance offers to its peers; the protocol's server calls it. */
export interface PeerService {
  renew(request: RenewRequest): Promise<RenewReply>;
  consent(request: ConsentRequest): Promise<ConsentReply>;
  forward(
    request: ForwardRequest,
    signal: AbortSignal,
  ): Promise<ForwardReply>;
  transfer(request: TransferRequest): Promise<void>;
  reportLoad(report: LoadReport): Promise<void>;
  reportDemand(report: DemandReport): Promise<DemandReply>;
}
