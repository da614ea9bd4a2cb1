/**
 * The messages that instances send each other in datagrams. All of them are
 * only hints.
 */
import type { TargetIncarnation } from "@lentilspur/routing/target_incarnation";
import type { InstanceDemand } from "@lentilspur/routing/account_limiter";
import type { PermitDecision } from "@lentilspur/routing/request_pacer";
import type { SuspectReport } from "@lentilspur/routing/suspect_report";
import type { Fragment } from "./datagram_fragments.ts";
import type { KeeperMessage } from "../keeper/keeper_exchange.ts";
import type { LoadCounts } from "./load_counts.ts";
import type { LimitReport } from "../requests/limit_report.ts";
import type { RecordBatch } from "../views/partition_view.ts";

/** First and last key of a range, and the token under which it was granted. */
export type GrantedKeys = readonly [from: number, to: number, token: number];

/** Status that an instance sends with each load message and heartbeat. */
export interface PeerStatus {
  /** Offset up to which the sender has read the configuration partition. */
  readonly configurationEnd: number;
  /** Whether the sender's reads of the store fail at present. */
  readonly hasLostStore: boolean;
  /**
   * Whether the sender reaches no target, and how many targets it does not
   * reach while others do. Missing from earlier versions.
   */
  readonly isIsolated?: boolean;
  readonly lostPaths?: number;
  /**
   * Partitions of the ownership topic kept by the sender, and the offsets up to
   * which its peers have to know them.
   */
  readonly ends: readonly (readonly [part: number, end: number])[];
}

export type PeerMessage =
  | KeeperMessage
  | ({
    readonly kind: "load";
    readonly from: string;
    readonly counts: LoadCounts;
  } & PeerStatus)
  | ({
    /**
     * Aggregate of the counts of all instances of a data centre, compressed.
     */
    readonly kind: "gathered-load";
    readonly from: string;
    readonly dataCentre: string;
    /** Number of the sender's aggregate. */
    readonly number: number;
  } & Fragment)
  /** Heartbeat. */
  | ({ readonly kind: "alive"; readonly from: string } & PeerStatus)
  | {
    /** The sender's own member record, as it has just written it. */
    readonly kind: "member";
    readonly from: string;
    readonly offset: number;
    readonly record: string;
  }
  | {
    readonly kind: "keys";
    readonly from: string;
    readonly service: string;
    /** Keys that callers have requested, or a sample of them. */
    readonly keys: readonly number[];
    /** Measured work of one request at each target, in milliseconds. */
    readonly serviceMs: Readonly<Record<string, number>>;
  }
  | ({
    /** Targets' entries that the sender has read. */
    readonly kind: "targets";
    readonly from: string;
  } & RecordBatch)
  | ({
    /**
     * Records of the configuration partition that the sender has read,
     * compressed.
     */
    readonly kind: "configuration";
    readonly from: string;
    /** Offset after the last record. */
    readonly end: number;
  } & Fragment)
  | ({
    /**
     * An ownership table that a keeper has written, as the compressed
     * difference to the previous table. If the text is empty, the receiver
     * fetches the table or reads the store.
     */
    readonly kind: "owners";
    readonly from: string;
    readonly part: number;
    readonly offset: number;
    /**
     * A receiver that knows the partition up to this offset has the previous
     * table.
     */
    readonly since: number;
    readonly service: string;
  } & Fragment)
  | {
    /**
     * Requests the ownership tables in a partition from its keeper.
     */
    readonly kind: "table-request";
    readonly from: string;
    readonly part: number;
  }
  | ({
    /** A whole ownership table, compressed, in response to a request. */
    readonly kind: "table";
    readonly from: string;
    readonly part: number;
    /**
     * Offset of the table's record, or of a later record that does not change
     * the table.
     */
    readonly offset: number;
    readonly service: string;
  } & Fragment)
  | {
    /**
     * Ranges that have reached their new owners; a record confirms this later.
     */
    readonly kind: "granted";
    readonly from: string;
    readonly service: string;
    readonly ranges: readonly GrantedKeys[];
  }
  | {
    readonly kind: "demand";
    readonly from: string;
    /** The demand that the sender sees from its busiest client accounts. */
    readonly demands: readonly InstanceDemand[];
  }
  | {
    /** Requests during which targets have crashed. */
    readonly kind: "suspects";
    readonly from: string;
    /** Data centre of the sender. */
    readonly dataCentre: string;
    readonly reports: readonly SuspectReport[];
  }
  | {
    /** Rate limits that targets have announced or withdrawn. */
    readonly kind: "limits";
    readonly from: string;
    /** Data centre of the sender. */
    readonly dataCentre: string;
    readonly limits: readonly LimitReport[];
  }
  | {
    /** A target whose response said that it leaves. */
    readonly kind: "leaving";
    readonly from: string;
    /** Data centre of the sender. */
    readonly dataCentre: string;
    readonly target: TargetIncarnation;
  }
  | {
    /** Requests a permit for a target from the target's coordinator. */
    readonly kind: "quota-request";
    readonly from: string;
    readonly number: number;
    /** Formatted by `formatTargetIncarnation`. */
    readonly life: string;
    /** The limit that the target has announced, as far as the sender knows. */
    readonly limit: LimitReport | null;
    /**
     * Requests per second that the target accepts while cold; null if it is not
     * cold.
     */
    readonly coldPerSecond: number | null;
    readonly maxWaitMs: number;
    /**
     * Share of the limit that applies; reduced if the receiver stands in for
     * another instance.
     */
    readonly share: number;
  }
  | {
    /** Response to the request for a permit with this number. */
    readonly kind: "quota";
    readonly from: string;
    readonly number: number;
    readonly decision: PermitDecision;
  };
