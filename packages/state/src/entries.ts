/**
 * The entries that instances and operators append to the log. Each carries the
 * precondition it was written against; the fold accepts or rejects it at its
 * position, the same way everywhere.
 *
 * A record holds several entries, so that a burst (a whole data centre lost)
 * costs few appends.
 */
import type { DocumentChange } from "@lentilspur/declarations/template";
import type { Position } from "@lentilspur/outcomes/position";

/** What is owned: a shard (`s:17`) or a hot key of its own (`k:case-9`). */
export type UnitId = string;

export interface InstanceDescription {
  /** New for each start of a process; never used again. */
  readonly id: string;
  /** `host:port` of the inner protocol. */
  readonly peerAddress: string;
  /** `host:port` for callers and operators. */
  readonly httpAddress: string;
  readonly dataCentre: string;
}

export interface TargetDescription {
  readonly id: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly template: string;
  /** Undeclared targets do not check. */
  readonly checksGrants: boolean;
}

export interface UnitPlacement {
  readonly unit: UnitId;
  readonly to: string;
}

export interface TargetStewardship {
  readonly target: string;
  readonly to: string;
}

/** Why a unit moves; shown in decision lines. */
export type MoveReason = "balance" | "hot-key" | "hot-key-over" | "drain";

/** Why nobody can still act for a lost instance. */
export type InstanceLossEvidence =
  /** A majority of its guardians gave it up, or were themselves waited out. */
  | {
    readonly kind: "guardians";
    readonly guardianToken: Position;
    readonly consented: readonly string[];
    readonly waitedOut: readonly string[];
  }
  /** An operator vouches that its process has ended. */
  | { readonly kind: "operator"; readonly operator: string };

/** Why a lost target can no longer run anything for its units. */
export type TargetLossEvidence =
  /** A checking target whose last grant has lapsed. */
  | { readonly kind: "grants-lapsed" }
  /** Its process ended: nothing listens at its address any more. */
  | { readonly kind: "process-ended" }
  /** Its process started anew, so the old one has ended. */
  | { readonly kind: "restarted" }
  | { readonly kind: "operator"; readonly operator: string };

export type Entry =
  | {
    readonly kind: "configuration-published";
    /** The configuration version that this was written against. */
    readonly expectedVersion: number;
    readonly changes: readonly DocumentChange[];
    readonly operator: string;
  }
  | {
    readonly kind: "instance-joined";
    readonly instance: InstanceDescription;
    readonly guardians: readonly string[];
  }
  | {
    readonly kind: "guardians-changed";
    readonly instance: string;
    readonly expectedToken: Position;
    readonly guardians: readonly string[];
  }
  | { readonly kind: "instance-left"; readonly instance: string }
  | {
    readonly kind: "instance-lost";
    readonly instance: string;
    readonly evidence: InstanceLossEvidence;
    readonly stewardships: readonly TargetStewardship[];
  }
  | {
    readonly kind: "target-joined";
    readonly target: TargetDescription;
    readonly steward: string;
  }
  | { readonly kind: "target-leaving"; readonly target: string }
  | { readonly kind: "target-left"; readonly target: string }
  | {
    readonly kind: "target-lost";
    readonly target: string;
    readonly expectedStewardToken: Position;
    readonly evidence: TargetLossEvidence;
    readonly reassigned: readonly UnitPlacement[];
  }
  | {
    readonly kind: "steward-changed";
    readonly target: string;
    /** The token of the present stewardship, or of its vacancy. */
    readonly expectedToken: Position;
    readonly to: string;
  }
  | {
    readonly kind: "units-assigned";
    readonly template: string;
    readonly units: readonly UnitPlacement[];
  }
  | {
    readonly kind: "move-started";
    readonly template: string;
    readonly unit: UnitId;
    /** Token of the unit's present owner; for a new hot key, of its shard. */
    readonly expectedToken: Position;
    readonly to: string;
    readonly reason: MoveReason;
  }
  | {
    readonly kind: "move-released";
    readonly template: string;
    readonly unit: UnitId;
    /** Position of the `move-started` entry. */
    readonly moveToken: Position;
  }
  | {
    readonly kind: "move-abandoned";
    readonly template: string;
    readonly unit: UnitId;
    readonly moveToken: Position;
  }
  | { readonly kind: "epoch-advanced"; readonly expectedEpoch: number };

export type EntryKind = Entry["kind"];

/** The payload of one log record. */
export interface Envelope {
  /** Names this append: the same id again changes nothing. */
  readonly id: string;
  /** The instance that wrote it, or `operator:NAME`. */
  readonly author: string;
  readonly entries: readonly Entry[];
}

/** What the fold made of one entry. */
export type Verdict =
  | { readonly kind: "accepted"; readonly position: Position }
  | { readonly kind: "rejected"; readonly reason: RejectionReason };

export type RejectionReason =
  | "repeated"
  | "unreadable"
  | "not-a-member"
  | "not-the-author"
  | "already-known"
  | "unknown-instance"
  | "unknown-target"
  | "unknown-template"
  | "unknown-unit"
  | "stale-precondition"
  | "evidence-insufficient"
  | "still-holding"
  | "already-moving"
  | "not-moving"
  | "bound-reached"
  | "bad-reference";
