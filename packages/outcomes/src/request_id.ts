/**
 * Request ids that tell a first send from a resend without comparing clocks.
 *
 * An id carries the epoch and the log position up to which its minting
 * instance had folded. A steward that took over at position P knows that ids
 * minted at or after P cannot have reached its predecessor, whose lease had
 * lapsed by then; an older id may have, so its non-idempotent request is
 * answered as unknown instead of being run again.
 */
import type { Position } from "./position.ts";

export interface RequestId {
  readonly epoch: number;
  readonly mintedAt: Position;
  /** Unique together with the rest: the minting instance and its counter. */
  readonly unique: string;
}

const REQUEST_ID_PATTERN =
  /^([0-9a-z]{1,9})-([0-9a-z]{1,11})-([0-9A-Za-z_.]{1,64})$/;
const RADIX = 36;

export function formatRequestId(id: RequestId): string {
  const epoch = id.epoch.toString(RADIX);
  const mintedAt = (id.mintedAt + 1).toString(RADIX);
  return `${epoch}-${mintedAt}-${id.unique}`;
}

/** Returns `undefined` for text that no instance can have minted. */
export function parseRequestId(text: string): RequestId | undefined {
  const match = REQUEST_ID_PATTERN.exec(text);
  if (match === null) {
    return undefined;
  }
  const [, epochText = "", mintedText = "", unique = ""] = match;
  const epoch = parseInt(epochText, RADIX);
  const mintedAt = parseInt(mintedText, RADIX) - 1;
  if (!Number.isSafeInteger(epoch) || !Number.isSafeInteger(mintedAt)) {
    return undefined;
  }
  return { epoch, mintedAt, unique };
}
