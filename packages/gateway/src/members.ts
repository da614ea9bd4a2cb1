/**
 * The other instances: where each can be reached, and which start of it is the
 * present one. Each writes one record at its start; records of instances that
 * are gone for good stay, and cost a datagram now and then.
 */

export interface Member {
  readonly instance: string;
  /** Drawn anew at each start of the process. */
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly host: string;
  readonly port: number;
  /** Where it says how it is. */
  readonly statusPort: number;
}

/**
 * Two of an instance's datagrams may be lost where there are a dozen, which send
 * every 400 ms; one where there are 60.
 */
const HEARD_MS = 1_600;

export class Members {
  readonly #self: string;
  readonly #members = new Map<string, Member>();
  readonly #heardAtMs = new Map<string, number>();

  constructor(self: string) {
    this.#self = self;
  }

  /** False where the text is no member's record; it is left out. */
  apply(instance: string, text: string): boolean {
    if (text === "") {
      this.#members.delete(instance);
      return true;
    }
    const member = parseMember(instance, text);
    if (member === undefined) {
      return false;
    }
    this.#members.set(instance, member);
    return true;
  }

  recordHeard(instance: string, nowMs: number): void {
    this.#heardAtMs.set(instance, nowMs);
  }

  /** Whether one of its last datagrams, sent every 400 ms, has arrived. */
  isHeard(instance: string, nowMs: number): boolean {
    return nowMs - (this.#heardAtMs.get(instance) ?? -Infinity) < HEARD_MS;
  }

  /** All but this instance itself. */
  listOthers(): readonly Member[] {
    return [...this.#members.values()]
      .filter((member) => member.instance !== this.#self);
  }

  /** The others that are heard of just now. */
  listHeard(nowMs: number): readonly Member[] {
    return this.listOthers()
      .filter(({ instance }) => this.isHeard(instance, nowMs));
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
  get count(): number {
    return Math.max(1, this.#members.size);
  }
}

export function serializeMember(member: Member): string {
  const { incarnation, dataCentre, host, port, statusPort } = member;
  return JSON.stringify({ incarnation, dataCentre, host, port, statusPort });
}

/** Undefined where the text is no member's record. */
export function parseMember(
  instance: string,
  text: string,
): Member | undefined {
  try {
    const value = JSON.parse(text) as Partial<Member> | null;
    const { incarnation, dataCentre, host, port, statusPort } = value ?? {};
    return typeof incarnation === "string" && typeof host === "string" &&
        typeof dataCentre === "string" && typeof port === "number" &&
        typeof statusPort === "number"
      ? { instance, incarnation, dataCentre, host, port, statusPort }
      : undefined;
  } catch {
    // Not JSON; the caller logs that the record was left out.
    return undefined;
  }
}
