/** What a catalogue tells of, and why a target gets no new work. */

export type CatalogueEvent =
  | {
    readonly kind: "configuration";
    readonly version: number;
    readonly routes: number;
  }
  | { readonly kind: "configuration-ignored"; readonly why: string }
  | {
    readonly kind: "target";
    readonly targetId: string;
    readonly service: string;
    readonly state: "present" | "leaving" | "missing" | "gone";
  }
  | {
    readonly kind: "target-ignored";
    readonly targetId: string;
    readonly why: string;
  }
  | {
    /** A target is cold, as it says or as is presumed. */
    readonly kind: "target-cold";
    readonly targetId: string;
    readonly service: string;
    readonly forMs: number;
  }
  | {
    readonly kind: "evacuation";
    readonly dataCentre: string;
    readonly state: "evacuated" | "restored";
    /** That stand there, as far as known. */
    readonly targets: number;
  };

/** Why a target gets no new work. */
export type WithdrawalReason = "leaving" | "evacuated";

export interface Withdrawal {
  readonly reason: WithdrawalReason;
  /** Since when this instance has known; own clock. */
  readonly sinceMs: number;
}
