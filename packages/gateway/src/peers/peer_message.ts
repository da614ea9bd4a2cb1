/** What instances tell each other in datagrams. All of it is a hint. */
import type { InstanceDemand } from "@lentilspur/routing/account_limiter";
import type { PermitDecision } from "@lentilspur/routing/request_pacer";
import type { SuspectReport } from "@lentilspur/routing/crash_suspects";
import type { Fragment } from "./datagram_fragments.ts";
import type { KeeperMessage } from "../keeper/keeper_exchange.ts";
import type { LoadCounts } from "./load_counts.ts";
import type { LimitReport } from "../requests/limit_report.ts";
import type { RecordBatch } from "../views/partition_view.ts";

/** First and last key, and the token under which they were granted. */
export type GrantedKeys = readonly [from: number, to: number, token: number];

/** What an instance says of itself again and again. */
export interface PeerStatus {
  /** Up to where it has read the configuration's partition. */
  readonly configurationEnd: number;
  /** The store does not answer it. */
  readonly hasLostStore: boolean;
  /** Partitions of owners that it keeps, and up to where others must know them. */
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
    /** What all instances of a data centre have together, packed. */
    readonly kind: "gathered-load";
    readonly from: string;
    readonly dataCentre: string;
    /** Which sum of the sender's it is. */
    readonly number: number;
  } & Fragment)
  /** That the sender is there. */
  | ({ readonly kind: "alive"; readonly from: string } & PeerStatus)
  | {
    /** The sender's own record, as it has just written it. */
    readonly kind: "member";
    readonly from: string;
    readonly offset: number;
    readonly record: string;
  }
  | {
    readonly kind: "keys";
    readonly from: string;
    readonly service: string;
    readonly keys: readonly number[];
    /** Work of one request at each target, in milliseconds, as measured. */
    readonly serviceMs: Readonly<Record<string, number>>;
  }
  | ({
    /** What a read of the targets' entries gave. */
    readonly kind: "targets";
    readonly from: string;
  } & RecordBatch)
  | ({
    /** What a read of the configuration's partition gave, packed. */
    readonly kind: "configuration";
    readonly from: string;
    /** Up to where it goes. */
    readonly end: number;
  } & Fragment)
  | ({
    /**
     * A table of owners that a keeper has written: what differs from the table
     * before, packed. Without any text it has to be read.
     */
    readonly kind: "owners";
    readonly from: string;
    readonly part: number;
    readonly offset: number;
    /** Whoever knows the partition up to here knows the table before. */
    readonly since: number;
    readonly service: string;
  } & Fragment)
  | {
    /** Asks the keeper of a partition of owners for its tables. */
    readonly kind: "table-request";
    readonly from: string;
    readonly part: number;
  }
  | ({
    /** A whole table of owners, packed, for whoever has asked for it. */
    readonly kind: "table";
    readonly from: string;
    readonly part: number;
    /** Of its record, or of a later one that changes nothing of it. */
    readonly offset: number;
    readonly service: string;
  } & Fragment)
  | {
    /** Ranges that have reached their new owners; a record says so later. */
    readonly kind: "granted";
    readonly from: string;
    readonly service: string;
    readonly ranges: readonly GrantedKeys[];
  }
  | {
    readonly kind: "demand";
    readonly from: string;
    /** What it sees of client accounts, the busiest of them. */
    readonly demands: readonly InstanceDemand[];
  }
  | {
    /** Requests under which targets have crashed. */
    readonly kind: "suspects";
    readonly from: string;
    /** Of the instance that tells of them. */
    readonly dataCentre: string;
    readonly reports: readonly SuspectReport[];
  }
  | {
    /** Limits that targets name, or name no more. */
    readonly kind: "limits";
    readonly from: string;
    /** Of the instance that tells of them. */
    readonly dataCentre: string;
    readonly limits: readonly LimitReport[];
  }
  | {
    /** Asks whoever gives out the turns of a target for one. */
    readonly kind: "quota-request";
    readonly from: string;
    readonly number: number;
    /** Of `formatLife`. */
    readonly life: string;
    /** What the target has named, as far as the sender knows. */
    readonly limit: LimitReport | null;
    /** Requests a second that it takes while it is cold; null where it is not. */
    readonly coldPerSecond: number | null;
    readonly maxWaitMs: number;
    /** Of the limit: less where the one that is asked stands in for another. */
    readonly share: number;
  }
  | {
    /** The answer to the request of this number. */
    readonly kind: "quota";
    readonly from: string;
    readonly number: number;
    readonly decision: PermitDecision;
  };
