/**
 * The events that a catalogue reports, and the reasons why a target gets no new
 * work.
 */

export type CatalogueEvent =
  | {
    readonly kind: "configuration";
    readonly version: number;
    readonly routes: number;
  }
  | IgnoredEvent
  | {
    readonly kind: "target";
    readonly targetId: string;
    readonly service: string;
    readonly state:
      | "present"
      | "leaving"
      | "reported-leaving"
      | "missing"
      | "gone";
  }
  | {
    /**
     * A target is cold: it reported so, or its data centre has just been
     * restored.
     */
    readonly kind: "target-cold";
    readonly targetId: string;
    readonly service: string;
    readonly forMs: number;
  }
  | {
    readonly kind: "evacuation";
    readonly dataCentre: string;
    readonly state: "evacuated" | "restored";
    /** Number of known targets in the data centre. */
    readonly targets: number;
  };

/** An entry or a configuration that changes nothing. */
export type IgnoredEvent =
  & {
    readonly why: string;
    /** Whether it could not be decoded; otherwise it is out of date. */
    readonly isUnreadable: boolean;
  }
  & (
    | { readonly kind: "configuration-ignored" }
    | { readonly kind: "target-ignored"; readonly targetId: string }
  );

/**
 * Why a target gets no new work: its entry says that it leaves or is missing
 * (`leaving`), a response of it says that it leaves (`reported-leaving`), or
 * its data centre is evacuated.
 */
export type WithdrawalReason = "leaving" | "reported-leaving" | "evacuated";

export interface Withdrawal {
  readonly reason: WithdrawalReason;
  /** Since when this instance has known the reason, by the local clock. */
  readonly sinceMs: number;
}
