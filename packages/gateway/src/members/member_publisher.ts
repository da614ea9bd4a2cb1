/**
 * Writes an instance's record into the store and announces the record to the
 * instances that this one knows. If each of 200 instances kept a read open at
 * the store for the others' records instead, each restart would cause 200 calls
 * while all instances are restarted one after the other.
 *
 * Each start of an instance gets a number that is higher than that of any
 * earlier start whose record it has read. A restore of the store may lose the
 * record; it is written again once a read of the members shows this.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { Partition, Store } from "@lentilspur/ports/store";
import { encodeOffset, getEra } from "@lentilspur/ports/store_offset";
import { decodeMember, type Member, serializeMember } from "./members.ts";

export interface MemberPublisherOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly partition: Partition;
  readonly member: Omit<Member, "startNumber">;
  /**
   * Called when the record is written. Reading the others' records from now on
   * finds all that were written before, and those written later will find this
   * one.
   */
  readonly onWritten: () => void;
  /** Called when a read of the members has found the record. */
  readonly onFound: () => void;
  /** Sends the record to the other instances. */
  readonly announce: (offset: number, record: string) => void;
  readonly reportFault: (message: string) => void;
  readonly signal: AbortSignal;
}

/** What a read of the newest records showed. */
export interface MembersSnapshot {
  readonly end: number;
  /** The record of this instance; undefined if there is none. */
  readonly ownRecord: string | undefined;
}

/**
 * Delay before the append is tried again; until then others only miss hints.
 */
const RETRY_MS = 500;
/** A datagram may be lost, and at first this instance knows few others. */
const ANNOUNCEMENT_TIMES_MS: readonly number[] = [0, 500, 1_500];

export class MemberPublisher {
  readonly #options: MemberPublisherOptions;
  #startNumber: number | undefined;
  /** Offset of the record that was last written. */
  #writtenOffset = -1;
  #isWriting = false;

  constructor(options: MemberPublisherOptions) {
    this.#options = options;
  }

  /** Undefined until the records of the members have been read once. */
  get startNumber(): number | undefined {
    return this.#startNumber;
  }

  /** Writes the record if the members, as they were read, lack it. */
  handleSnapshot(snapshot: MembersSnapshot): void {
    const { instance, incarnation } = this.#options.member;
    const decoded = decodeMember(instance, snapshot.ownRecord ?? "");
    const known = decoded.ok ? decoded.val : undefined;
    this.#startNumber ??= computeStartNumber(snapshot.end, known);
    if (known?.incarnation === incarnation) {
      this.#options.onFound();
    }
    const isMissing = known?.incarnation !== incarnation &&
      this.#writtenOffset < snapshot.end;
    if (!isMissing || this.#isWriting) {
      return;
    }
    if ((known?.startNumber ?? -1) > this.#startNumber) {
      this.#options.reportFault(
        `Another process runs as instance "${instance}"; give each instance a name of its own`,
      );
      return;
    }
    void this.#write(this.#startNumber);
  }

  /** Resolves once the record is written and announced, or on the signal. */
  async #write(startNumber: number): Promise<void> {
    const { clock, store, partition, reportFault, signal } = this.#options;
    const key = this.#options.member.instance;
    const value = serializeMember({ ...this.#options.member, startNumber });
    this.#isWriting = true;
    while (this.#isWriting && !signal.aborted) {
      const appended = await store.append({ partition, key, value });
      if (appended.ok) {
        this.#isWriting = false;
        this.#writtenOffset = appended.val;
        this.#options.onWritten();
        await this.#sendRepeatedly(appended.val, value);
        return;
      }
      reportFault(
        `Cannot write the member record of this instance, trying again: ${appended.val.kind}`,
      );
      await clock.sleep(RETRY_MS, signal);
    }
  }

  async #sendRepeatedly(offset: number, record: string): Promise<void> {
    const { clock, announce, signal } = this.#options;
    let previousMs = 0;
    for (const afterMs of ANNOUNCEMENT_TIMES_MS) {
      await clock.sleep(afterMs - previousMs, signal);
      previousMs = afterMs;
      if (!signal.aborted) {
        announce(offset, record);
      }
    }
  }
}

/**
 * The number of a start that has read `previous` up to `end`. Later starts have
 * higher numbers, unless they read before this one has written its record; then
 * the numbers may be equal.
 */
function computeStartNumber(end: number, previous: Member | undefined): number {
  const first = encodeOffset(getEra(end), 1);
  return Math.max(first, (previous?.startNumber ?? 0) + 1);
}
