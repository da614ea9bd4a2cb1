/** Writes an instance's record into the store, so that others find it. */
import type { Clock } from "@lentilspur/ports/clock";
import type { Partition, Store } from "@lentilspur/ports/store";
import { type Member, serializeMember } from "./members.ts";

export interface MemberRecordOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly partition: Partition;
  readonly member: Member;
  readonly reportFault: (message: string) => void;
  readonly signal: AbortSignal;
}

/** Before the append is tried again; others miss hints meanwhile, no more. */
const RETRY_MS = 500;

/** Resolves once the record is written, or the signal aborts. */
export async function publishMember(
  options: MemberRecordOptions,
): Promise<void> {
  const { clock, store, partition, member, reportFault, signal } = options;
  while (!signal.aborted) {
    const appended = await store.append({
      partition,
      key: member.instance,
      value: serializeMember(member),
    });
    if (appended.ok) {
      return;
    }
    reportFault(`The own record was not written: ${appended.val.kind}`);
    await clock.sleep(RETRY_MS, signal);
  }
}
