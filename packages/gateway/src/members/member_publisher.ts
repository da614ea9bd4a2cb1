/**
 * Writes an instance's record into the store, so that others find it, and tells
 * those that are known here. Load pattern: 200 instances are restarted in turn;
 * did each of them wait at the store for the others' records, every restart
 * would be answered by 200 calls.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { Partition, Store } from "@lentilspur/ports/store";
import { type Member, serializeMember } from "./members.ts";

export interface PublishMemberOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly partition: Partition;
  readonly member: Member;
  /** Tells the others of the record. */
  readonly announce: (offset: number, record: string) => void;
  readonly reportFault: (message: string) => void;
  readonly signal: AbortSignal;
}

/** Before the append is tried again; others miss hints meanwhile, no more. */
const RETRY_MS = 500;
/** A datagram may be lost, and at first this instance knows few others. */
const ANNOUNCED_AFTER_MS: readonly number[] = [0, 500, 1_500];

/** Resolves once the record is written and told, or the signal aborts. */
export async function publishMember(
  options: PublishMemberOptions,
): Promise<void> {
  const { clock, store, partition, member, reportFault, signal } = options;
  const value = serializeMember(member);
  while (!signal.aborted) {
    const key = member.instance;
    const appended = await store.append({ partition, key, value });
    if (appended.ok) {
      await sendOften(options, appended.val, value);
      return;
    }
    reportFault(`The own record was not written: ${appended.val.kind}`);
    await clock.sleep(RETRY_MS, signal);
  }
}

async function sendOften(
  { clock, announce, signal }: PublishMemberOptions,
  offset: number,
  record: string,
): Promise<void> {
  let announcedMs = 0;
  for (const afterMs of ANNOUNCED_AFTER_MS) {
    await clock.sleep(afterMs - announcedMs, signal);
    announcedMs = afterMs;
    if (!signal.aborted) {
      announce(offset, record);
    }
  }
}
