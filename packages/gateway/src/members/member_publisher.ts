/**
 * Writes an instance's record into the store and announces the record to the
 * instances that this one knows. If each of 200 instances kept a read open at
 * the store for the others' records instead, each restart would cause 200 calls
 * while all instances are restarted one after the other.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { Partition, Store } from "@lentilspur/ports/store";
import { type Member, serializeMember } from "./members.ts";

export interface PublishMemberOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly partition: Partition;
  readonly member: Member;
  /**
   * Called when the record is written. Reading the others' records from now on
   * finds all that were written before, and those written later will find this
   * one.
   */
  readonly onWritten: () => void;
  /** Sends the record to the other instances. */
  readonly announce: (offset: number, record: string) => void;
  readonly reportFault: (message: string) => void;
  readonly signal: AbortSignal;
}

/**
 * Delay before the append is tried again; until then others only miss hints.
 */
const RETRY_MS = 500;
/** A datagram may be lost, and at first this instance knows few others. */
const ANNOUNCEMENT_TIMES_MS: readonly number[] = [0, 500, 1_500];

/** Resolves once the record is written and announced, or the signal aborts. */
export async function publishMember(
  options: PublishMemberOptions,
): Promise<void> {
  const { clock, store, partition, member, reportFault, signal } = options;
  const value = serializeMember(member);
  while (!signal.aborted) {
    const key = member.instance;
    const appended = await store.append({ partition, key, value });
    if (appended.ok) {
      options.onWritten();
      await sendRepeatedly(options, appended.val, value);
      return;
    }
    reportFault(
      `Cannot write the member record of this instance, trying again: ${appended.val.kind}`,
    );
    await clock.sleep(RETRY_MS, signal);
  }
}

async function sendRepeatedly(
  { clock, announce, signal }: PublishMemberOptions,
  offset: number,
  record: string,
): Promise<void> {
  let previousMs = 0;
  for (const afterMs of ANNOUNCEMENT_TIMES_MS) {
    await clock.sleep(afterMs - previousMs, signal);
    previousMs = afterMs;
    if (!signal.aborted) {
      announce(offset, record);
    }
  }
}
