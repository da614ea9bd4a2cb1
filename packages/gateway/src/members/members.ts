/**
 * The other instances: where each can be reached, and which start of it is the
 * present one. Each writes one record at its start and tells the others of it;
 * records of instances that are gone for good stay, and cost a datagram now and
 * then.
 */
import { hashToUint32 } from "./stable_hash.ts";

/** What decides which work for others falls to an instance. */
export interface RankedInstance {
  readonly instance: string;
  readonly dataCentre: string;
  /** Processor time that it may use, in cores. */
  readonly cores: number;
}

export interface Member extends RankedInstance {
  /** Drawn anew at each start of the process. */
  readonly incarnation: string;
  readonly host: string;
  readonly port: number;
  /** Where it says how it is. */
  readonly statusPort: number;
}

/**
 * Instances that do work for others send at least every 500 ms: two datagrams
 * may be lost.
 */
const HEARD_MS = 1_600;
/** Of an instance whose record does not say; those before this one did not. */
const USUAL_CORES = 1;

/** What an instance last told of itself. */
interface LastContact {
  readonly atMs: number;
  readonly hasLostStore: boolean;
}

export class Members {
  readonly #self: RankedInstance;
  readonly #members = new Map<string, Member>();
  /** Of the record of each, so that an older one never replaces it. */
  readonly #offsets = new Map<string, number>();
  readonly #lastContacts = new Map<string, LastContact>();
  /** Of each instance, drawn from its name. */
  readonly #orders = new Map<string, number>();
  /** Made when asked for: at a start 200 records come one after the other. */
  #others: readonly Member[] | undefined;
  #ranked: readonly RankedInstance[] | undefined;

  constructor(self: RankedInstance) {
    this.#self = self;
  }

  /**
   * Takes over a record, read or told. An instance that is new, or has started
   * anew, counts as heard: it was there just now. False where the text is no
   * member's record; it is left out.
   */
  apply(
    instance: string,
    text: string,
    { offset, nowMs }: { readonly offset: number; readonly nowMs: number },
  ): boolean {
    if (offset <= (this.#offsets.get(instance) ?? -1)) {
      return true;
    }
    if (text === "") {
      this.#members.delete(instance);
    } else {
      const member = parseMember(instance, text);
      if (member === undefined) {
        return false;
      }
      this.#setMember(member, nowMs);
    }
    this.#offsets.set(instance, offset);
    this.#others = undefined;
    this.#ranked = undefined;
    return true;
  }

  recordContact(instance: string, nowMs: number): void {
    const hasLostStore = this.#lastContacts.get(instance)?.hasLostStore ??
      false;
    this.#lastContacts.set(instance, { atMs: nowMs, hasLostStore });
  }

  recordStoreStatus(
    instance: string,
    hasLostStore: boolean,
    nowMs: number,
  ): void {
    this.#lastContacts.set(instance, { atMs: nowMs, hasLostStore });
  }

  /** Whether one of its last datagrams has arrived. */
  isAlive(instance: string, nowMs: number): boolean {
    return nowMs - (this.#lastContacts.get(instance)?.atMs ?? -Infinity) <
      HEARD_MS;
  }

  /** Whether it last told that the store does not answer it. */
  hasLostStore(instance: string): boolean {
    return this.#lastContacts.get(instance)?.hasLostStore === true;
  }

  /** All but this instance itself. */
  listPeers(): readonly Member[] {
    this.#others ??= [...this.#members.values()]
      .filter(({ instance }) => instance !== this.#self.instance);
    return this.#others;
  }

  /**
   * All, this instance too, in the order in which work for others falls to them:
   * the same at every instance that has read the same records. Those that may
   * use most processor time come first, among equals in an order drawn from
   * their names, so that the first few stand in different data centres.
   */
  listRanked(): readonly RankedInstance[] {
    this.#ranked ??= [this.#self, ...this.listPeers()]
      .toSorted((left, right) =>
        right.cores - left.cores ||
        this.#getOrder(left.instance) - this.#getOrder(right.instance)
      );
    return this.#ranked;
  }

  get(instance: string): Member | undefined {
    return this.#members.get(instance);
  }

  /** A later start of the same instance proves that this one has ended. */
  hasEnded(instance: string, incarnation: string): boolean {
    const member = this.#members.get(instance);
    return member !== undefined && member.incarnation !== incarnation;
  }

  /** Instances that there may be, this one included. */
  get instanceCount(): number {
    return this.listPeers().length + 1;
  }

  #setMember(member: Member, nowMs: number): void {
    const { instance, incarnation } = member;
    if (this.#members.get(instance)?.incarnation !== incarnation) {
      this.#lastContacts.set(instance, { atMs: nowMs, hasLostStore: false });
    }
    this.#members.set(instance, member);
  }

  #getOrder(instance: string): number {
    const order = this.#orders.get(instance) ?? hashToUint32(instance);
    this.#orders.set(instance, order);
    return order;
  }
}

export function serializeMember(member: Member): string {
  const { instance: _key, ...fields } = member;
  return JSON.stringify(fields);
}

/** Undefined where the text is no member's record. */
export function parseMember(
  instance: string,
  text: string,
): Member | undefined {
  try {
    const value = JSON.parse(text) as Partial<Member> | null;
    const { incarnation, dataCentre, host, port, statusPort } = value ?? {};
    const { cores = USUAL_CORES } = value ?? {};
    return typeof incarnation === "string" && typeof host === "string" &&
        typeof dataCentre === "string" && typeof port === "number" &&
        typeof statusPort === "number" && typeof cores === "number"
      ? { instance, incarnation, dataCentre, host, port, statusPort, cores }
      : undefined;
  } catch {
    // Not JSON; the caller logs that the record was left out.
    return undefined;
  }
}
