/**
 * Tracks the other instances: their addresses and current incarnations. Each
 * instance writes one record at its start and sends it to the others. The
 * records of instances that are gone for good are kept, so a datagram is sent
 * to their addresses now and then.
 */
import {
  decodeJson,
  describeValue,
  isName,
  isOptional,
  isPort,
  isWhole,
  isWithin,
  toObject,
} from "@lentilspur/outcomes/json_boundary";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Membership } from "@lentilspur/routing/retry_budget";
import { hashToUint32 } from "./stable_hash.ts";

/** What determines the duties of an instance. */
export interface RankedInstance {
  readonly instance: string;
  readonly dataCentre: string;
  /** Processor time that the instance may use, in cores. */
  readonly cores: number;
}

export interface Member extends RankedInstance {
  /** Random, and new at each start of the process. */
  readonly incarnation: string;
  /**
   * Orders the incarnations of an instance: a higher number is a later start,
   * equal ones tell nothing. Missing in the records of earlier versions.
   */
  readonly startNumber?: number;
  readonly host: string;
  readonly port: number;
  /** Port of the instance's status server. */
  readonly statusPort: number;
  /**
   * TCP port for requests that other instances forward. Missing in the records
   * of earlier versions, which accept none.
   */
  readonly forwardPort?: number;
}

/** One incarnation of an instance. */
export type MemberProcess = Pick<
  Member,
  "instance" | "incarnation" | "startNumber"
>;

/**
 * An instance is alive if a datagram from it has arrived within this time.
 * Heartbeats come at least every 500 ms, so two datagrams may be lost.
 */
const ALIVE_MS = 1_600;
/** For records without this field, which earlier versions wrote. */
const DEFAULT_CORES = 1;
const MAX_CORES = 4_096;
/** A record is announced in a datagram. */
const MAX_RECORD_LENGTH = 4_096;
/** Start numbers follow offsets, of which 2^52 is in era 450,000. */
const MAX_START_NUMBER = 2 ** 52;
/** A host name or an IP address. */
const HOST = /^[\w.:-]+$/;

/** What an instance last reported, and when. */
interface LastContact {
  readonly atMs: number;
  readonly hasLostStore: boolean;
  readonly isIsolated: boolean;
  readonly lostPaths: number;
}

/** What an instance reports of itself. */
export interface ReportedStatus {
  /** Whether the store does not answer it. */
  readonly hasLostStore: boolean;
  /** Whether it reaches no target. */
  readonly isIsolated?: boolean;
  /** Number of targets that it does not reach while others do. */
  readonly lostPaths?: number;
}

const NOTHING_LOST = { hasLostStore: false, isIsolated: false, lostPaths: 0 };

export class Members {
  readonly #self: RankedInstance;
  readonly #members = new Map<string, Member>();
  /**
   * Offset of each instance's record, so that an older one never replaces it.
   */
  readonly #offsets = new Map<string, number>();
  readonly #lastContacts = new Map<string, LastContact>();
  /** A hash of each instance's name. */
  readonly #nameHashes = new Map<string, number>();
  #isRead = false;
  /** Since when the record of this instance is among those that are read. */
  #ownRecordSinceMs: number | undefined;
  /** Computed on demand: at a start, 200 records arrive one after the other. */
  #peers: readonly Member[] | undefined;
  #ranked: readonly RankedInstance[] | undefined;

  constructor(self: RankedInstance) {
    this.#self = self;
  }

  get ownInstance(): string {
    return this.#self.instance;
  }

  /**
   * Applies a record that was read from the store or received from an instance.
   * An instance that is new here or has restarted counts as alive until
   * `ALIVE_MS` have passed. This includes the old records that are read after a
   * start of this instance. Fails and leaves the record out if the text is no
   * member's record.
   */
  apply(
    instance: string,
    text: string,
    { offset, nowMs }: { readonly offset: number; readonly nowMs: number },
  ): Result<void, string> {
    if (offset <= (this.#offsets.get(instance) ?? -1)) {
      return Ok(undefined);
    }
    if (text === "") {
      this.#members.delete(instance);
    } else {
      const decoded = decodeMember(instance, text);
      if (!decoded.ok) {
        return Err(decoded.val);
      }
      // After a restore of the store, an older record has a higher offset.
      if (isEarlierStart(decoded.val, this.#members.get(instance))) {
        return Ok(undefined);
      }
      this.#setMember(decoded.val, nowMs);
    }
    this.#offsets.set(instance, offset);
    this.#peers = undefined;
    this.#ranked = undefined;
    return Ok(undefined);
  }

  recordContact(instance: string, nowMs: number): void {
    const known = this.#lastContacts.get(instance) ?? NOTHING_LOST;
    this.#lastContacts.set(instance, { ...known, atMs: nowMs });
  }

  recordStatus(
    instance: string,
    { hasLostStore, isIsolated = false, lostPaths = 0 }: ReportedStatus,
    nowMs: number,
  ): void {
    this.#lastContacts.set(instance, {
      atMs: nowMs,
      hasLostStore,
      isIsolated,
      lostPaths,
    });
  }

  /**
   * Whether a datagram from the instance, or the record of its current
   * incarnation, arrived within the last `ALIVE_MS`.
   */
  isAlive(instance: string, nowMs: number): boolean {
    return nowMs - (this.#lastContacts.get(instance)?.atMs ?? -Infinity) <
      ALIVE_MS;
  }

  /** Whether the instance last reported that the store does not answer it. */
  hasLostStore(instance: string): boolean {
    return this.#lastContacts.get(instance)?.hasLostStore === true;
  }

  /** Whether the instance last reported that it reaches no target. */
  isIsolated(instance: string): boolean {
    return this.#lastContacts.get(instance)?.isIsolated === true;
  }

  /** Targets that the instance last reported not to reach while others do. */
  countLostPaths(instance: string): number {
    return this.#lastContacts.get(instance)?.lostPaths ?? 0;
  }

  /** All instances but this one. */
  listPeers(): readonly Member[] {
    this.#peers ??= [...this.#members.values()]
      .filter(({ instance }) => instance !== this.#self.instance);
    return this.#peers;
  }

  /**
   * All instances, this one included, in the order in which duties are
   * assigned: the same order at every instance that has read the same records.
   * Those with the most cores come first, and equals are ordered by a hash of
   * their names, so that the first few are in different data centres.
   */
  listRanked(): readonly RankedInstance[] {
    this.#ranked ??= [this.#self, ...this.listPeers()]
      .toSorted((left, right) =>
        right.cores - left.cores ||
        this.#getNameHash(left.instance) - this.#getNameHash(right.instance)
      );
    return this.#ranked;
  }

  get(instance: string): Member | undefined {
    return this.#members.get(instance);
  }

  /**
   * A later incarnation of the same instance proves that this one has ended.
   * Without a start number, which earlier versions do not give, any other
   * incarnation counts as later.
   */
  hasEnded(process: MemberProcess): boolean {
    const member = this.#members.get(process.instance);
    return member !== undefined &&
      member.incarnation !== process.incarnation &&
      (process.startNumber === undefined ||
        isEarlierStart(process, member));
  }

  /** Number of instances whose record is known, this one included. */
  get knownCount(): number {
    return this.listPeers().length + 1;
  }

  /** Records that the records of all instances have been read. */
  markRead(): void {
    this.#isRead = true;
  }

  /**
   * Number of instances with a record, this one included. Null until the
   * records have been read: the few that are known before, from messages, are
   * no basis for dividing a limit.
   */
  get instanceCount(): number | null {
    return this.#isRead ? this.knownCount : null;
  }

  /** Records that a read of the records has found the one of this instance. */
  recordOwnRecord(nowMs: number): void {
    this.#ownRecordSinceMs ??= nowMs;
  }

  /**
   * The instances that divide a limit with this one. Null until a read has found
   * the record of this instance: reads before that may lack the records of
   * instances that started with it, and these may not know of this one. Null also
   * while neither the store nor another instance can tell of new ones.
   */
  getMembership(
    { hasLostStore, nowMs }: {
      readonly hasLostStore: boolean;
      readonly nowMs: number;
    },
  ): Membership | null {
    const sinceMs = this.#ownRecordSinceMs;
    return sinceMs === undefined || (hasLostStore && this.#isAlone(nowMs))
      ? null
      : { instances: this.knownCount, sinceMs };
  }

  /** Whether other instances are known and none of them is alive. */
  #isAlone(nowMs: number): boolean {
    const peers = this.listPeers();
    return peers.length > 0 &&
      !peers.some(({ instance }) => this.isAlive(instance, nowMs));
  }

  #setMember(member: Member, nowMs: number): void {
    const { instance, incarnation } = member;
    if (this.#members.get(instance)?.incarnation !== incarnation) {
      this.#lastContacts.set(instance, { ...NOTHING_LOST, atMs: nowMs });
    }
    this.#members.set(instance, member);
  }

  #getNameHash(instance: string): number {
    const nameHash = this.#nameHashes.get(instance) ?? hashToUint32(instance);
    this.#nameHashes.set(instance, nameHash);
    return nameHash;
  }
}

/** Whether the first start is known to be earlier than the second. */
function isEarlierStart(
  { startNumber }: Pick<Member, "startNumber">,
  other: Member | undefined,
): boolean {
  return startNumber !== undefined && other?.startNumber !== undefined &&
    startNumber < other.startNumber;
}

export function serializeMember(member: Member): string {
  const { instance: _key, ...fields } = member;
  return JSON.stringify(fields);
}

/** Fails if the text is no member's record that this instance can use. */
export function decodeMember(
  instance: string,
  text: string,
): Result<Member, string> {
  const decoded = decodeJson(text, { maxLength: MAX_RECORD_LENGTH });
  if (!decoded.ok) {
    return Err(`The record ${decoded.val}`);
  }
  const fields = toObject(decoded.val);
  const { incarnation, dataCentre, host, port, statusPort } = fields;
  const { cores = DEFAULT_CORES, startNumber, forwardPort } = fields;
  if (!isName(incarnation) || !isName(dataCentre)) {
    return createFieldError(
      "incarnation, dataCentre",
      incarnation,
      dataCentre,
    );
  }
  if (!isName(host) || !HOST.test(host)) {
    return createFieldError("host", host);
  }
  if (
    !isPort(port) || !isPort(statusPort) || !isOptional(forwardPort, isPort)
  ) {
    return createFieldError(
      "port, statusPort, forwardPort",
      port,
      statusPort,
      forwardPort,
    );
  }
  if (!isWithin(cores, MAX_CORES)) {
    return createFieldError("cores", cores);
  }
  if (!isOptional(startNumber, isStartNumber)) {
    return createFieldError("startNumber", startNumber);
  }
  return Ok({
    instance,
    incarnation,
    ...(startNumber === undefined ? {} : { startNumber }),
    dataCentre,
    host,
    port,
    statusPort,
    ...(forwardPort === undefined ? {} : { forwardPort }),
    cores,
  });
}

function isStartNumber(value: unknown): value is number {
  return isWhole(value, { max: MAX_START_NUMBER });
}

function createFieldError(
  names: string,
  ...values: readonly unknown[]
): Result<Member, string> {
  return Err(
    `The record cannot have ${names} of ${
      values.map(describeValue).join(", ")
    }`,
  );
}
