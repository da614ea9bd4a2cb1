/**
 * Orders that grant keys to a target or release them. Keys are numbers from 0
 * to `LAST_KEY`; a range includes both ends.
 */

export const LAST_KEY = 65_535;

export interface KeyRange {
  readonly from: number;
  readonly to: number;
}

export function hasOverlap(left: KeyRange, right: KeyRange): boolean {
  return left.from <= right.to && left.to >= right.from;
}

/** Returns the parts of a range that remain without the taken keys. */
export function splitRange<Range extends KeyRange>(
  range: Range,
  taken: KeyRange,
): readonly Range[] {
  return hasOverlap(range, taken)
    ? [{ ...range, to: taken.from - 1 }, { ...range, from: taken.to + 1 }]
      .filter((rest) => rest.from <= rest.to)
    : [range];
}

/**
 * The target process that an order is for; a process with another id refuses
 * it. A later incarnation with the same id cannot tell the difference, so
 * orders are sent in sessions: a session reaches only one incarnation.
 */
export interface OrderReceiver {
  readonly id: string;
  /** `host:port`, with an IP address. */
  readonly address: string;
}

export interface GrantOrder extends KeyRange {
  readonly token: number;
  /** The target holds the keys for this long after the order arrives. */
  readonly holdMs: number;
  /**
   * Opaque value from the previous holder's response to its release. The new
   * holder uses it to avoid a slow start of the keys.
   */
  readonly handover?: string;
}

export interface ReleaseOrder extends KeyRange {
  readonly token: number;
}

export type OrderOutcome =
  | { readonly kind: "done"; readonly handover?: string }
  /** The target has seen a higher token on one of the keys. */
  | { readonly kind: "superseded" }
  /** Another process responds at the address: the target process has ended. */
  | { readonly kind: "replaced" }
  /** No byte of the order was sent. */
  | {
    readonly kind: "unsent";
    readonly message: string;
    /** Whether a new connection failed, which the target may be the cause of. */
    readonly isUnreachable: boolean;
  }
  /**
   * No byte of the order was sent: another incarnation may be at the address.
   */
  | { readonly kind: "session-over"; readonly message: string }
  /** The order may still take effect. */
  | {
    readonly kind: "unanswered";
    readonly message: string;
    /** Set if a response arrived that may belong to another order. */
    readonly isForeign?: true;
  };

export interface KeyOrderSender {
  /**
   * Returns the current session with a target. A grant is sent in its session
   * or not at all.
   */
  getSession(to: OrderReceiver): number;
  grant(
    to: OrderReceiver,
    order: GrantOrder,
    session: number,
  ): Promise<OrderOutcome>;
  /** Resolves after the requests that were running on these keys have ended. */
  release(from: OrderReceiver, order: ReleaseOrder): Promise<OrderOutcome>;
}
