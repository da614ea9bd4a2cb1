/** Runs the membership of one instance on its own, for tests. */
import type { Clock } from "@lentilspur/ports/clock";
import type { Partition, Store } from "@lentilspur/ports/store";
import { PartitionView } from "../views/partition_view.ts";
import { MemberPublisher } from "./member_publisher.ts";
import { type Member, Members } from "./members.ts";

export const MEMBERS_PARTITION: Partition = { topic: "members", part: 0 };

export interface MembershipOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly member: Member;
  /** Interval between reads of the members. */
  readonly readIntervalMs: number;
  readonly signal: AbortSignal;
  /** By default faults are ignored: a store may be made to fail. */
  readonly reportFault?: (message: string) => void;
  /** Passes the record on to the known members; by default nobody gets it. */
  readonly announce?: (
    members: Members,
    record: { readonly offset: number; readonly text: string },
  ) => void;
}

export interface Membership {
  readonly members: Members;
  readonly view: PartitionView;
  readonly publisher: MemberPublisher;
}

/** Follows the members' records, and writes that of the instance. */
export function startMembership(options: MembershipOptions): Membership {
  const { clock, store, member, readIntervalMs, signal, announce } = options;
  const members = new Members(member);
  const reportRead = () => {
    const ownRecord = view.getRecord(member.instance)?.value;
    publisher.handleSnapshot({ end: view.end, ownRecord });
  };
  const view: PartitionView = new PartitionView({
    clock,
    store,
    partition: MEMBERS_PARTITION,
    getPollingPolicy: () => ({
      pollDelayMs: 500,
      waitMs: 0,
      peerDataTtlMs: readIntervalMs,
      maxBackoffMs: 1_600,
    }),
    apply: ({ key, value, offset }) => {
      if (key === member.instance) {
        reportRead();
      }
      members.apply(key, value, { offset, nowMs: clock.readMs() });
    },
    onSnapshot: () => {
      members.markRead();
      reportRead();
    },
    observe: () => undefined,
  });
  const publisher = new MemberPublisher({
    clock,
    store,
    partition: MEMBERS_PARTITION,
    member,
    onWritten: () => view.scheduleRead(),
    onFound: () => members.recordOwnRecord(clock.readMs()),
    announce: (offset, text) => announce?.(members, { offset, text }),
    reportFault: (message) => options.reportFault?.(message),
    signal,
  });
  void view.run(signal);
  return { members, view, publisher };
}
