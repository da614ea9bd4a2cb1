/** Checks records of the store that another instance has sent. */
import {
  isListOf,
  isText,
  isWhole,
  MAX_NAME_LENGTH,
  toObject,
} from "@lentilspur/outcomes/json_boundary";
import type { StoreRecord } from "@lentilspur/ports/store";
import type { RecordBatch } from "./partition_view.ts";

/** Offsets, terms and tokens up to this one leave room for later ones. */
export const MAX_OFFSET = 2 ** 52;
/** Far more records than one read returns. */
const MAX_BATCH_LENGTH = 1_000_000;
const MAX_VALUE_LENGTH = 4 * 1_048_576;

/** Whether the value can be an offset; before the first read, an end is -1. */
export function isOffset(value: unknown): value is number {
  return isWhole(value, { min: -1, max: MAX_OFFSET });
}

/**
 * Whether the records are of the offsets from `base` to `end`. A receiver goes
 * on reading at the end, so an end far above would hide the records before it.
 */
export function isBatchOf(
  base: unknown,
  end: unknown,
  records: unknown,
): records is readonly StoreRecord[] {
  return isOffset(base) && isOffset(end) && end >= base &&
    end - base <= MAX_BATCH_LENGTH &&
    isListOf(records, isRecord, MAX_BATCH_LENGTH) &&
    records.every(({ offset }) => offset >= base && offset < end);
}

/** The batch that ends at `end`; undefined if the value is none. */
export function toRecordBatch(
  value: unknown,
  end: number,
): Pick<RecordBatch, "base" | "records"> | undefined {
  const { base, records } = toObject(value);
  return isOffset(base) && isBatchOf(base, end, records)
    ? { base, records }
    : undefined;
}

export function isRecord(value: unknown): value is StoreRecord {
  const { offset, key, value: content } = toObject(value);
  return isOffset(offset) && isText(key, MAX_NAME_LENGTH) &&
    isText(content, MAX_VALUE_LENGTH);
}
