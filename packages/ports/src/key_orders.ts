/**
 * Orders by which a target gets and loses keys. Keys are numbers from 0 to
 * `LAST_KEY`; a range includes both its ends.
 */

export const LAST_KEY = 65_535;

export interface KeyRange {
  readonly from: number;
  readonly to: number;
}

export function hasOverlap(left: KeyRange, right: KeyRange): boolean {
  return left.from <= right.to && left.to >= right.from;
}

/** What is left of a range once some keys are taken out of it. */
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
 * The process that an order is meant for; any other refuses it. A later life of
 * it under the same id does not, so orders go out in sessions: behind one there
 * is one life for certain.
 */
export interface OrderReceiver {
  readonly id: string;
  /** `host:port`, by IP number. */
  readonly address: string;
}

export interface GrantOrder extends KeyRange {
  readonly token: number;
  /** The target holds the keys for this long from the order's arrival. */
  readonly holdMs: number;
  /** What the last holder gave with its release; spares the keys a slow start. */
  readonly handover?: string;
}

export interface ReleaseOrder extends KeyRange {
  readonly token: number;
}

export type OrderOutcome =
  | { readonly kind: "done"; readonly handover?: string }
  /** The target has seen a higher token on one of the keys. */
  | { readonly kind: "superseded" }
  /** Another process answers at the address: the one meant has ended. */
  | { readonly kind: "replaced" }
  /** No byte of it was sent. */
  | { readonly kind: "unsent"; readonly message: string }
  /** No byte of it was sent: another life may stand behind the address. */
  | { readonly kind: "session-over"; readonly message: string }
  /** It may be carried out yet. */
  | { readonly kind: "unanswered"; readonly message: string };

export interface KeyOrderSender {
  /** The present session with a target; a grant is sent in one or not at all. */
  getSession(to: OrderReceiver): number;
  grant(
    to: OrderReceiver,
    order: GrantOrder,
    session: number,
  ): Promise<OrderOutcome>;
  /** Answered once the work that was running on these keys has ended. */
  release(from: OrderReceiver, order: ReleaseOrder): Promise<OrderOutcome>;
}
