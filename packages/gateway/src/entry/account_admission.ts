/**
 * Admits requests by the credential of their client account, within the limits
 * of the account for the service. If the configuration names no accounts, every
 * caller is admitted.
 */
import { hash } from "node:crypto";
import type { ErrorKind } from "@lentilspur/outcomes/error_kinds";
import type { Clock } from "@lentilspur/ports/clock";
import type {
  CallerAccess,
  ClientAccount,
} from "@lentilspur/ports/routing_table";
import { AccountLimiter } from "@lentilspur/routing/account_limiter";
import type { AccountShare } from "@lentilspur/routing/fair_scheduler";

export type Admission =
  | { readonly kind: "open" }
  | {
    readonly kind: "admitted";
    readonly service: string;
    readonly share: AccountShare;
  }
  | {
    readonly kind: "refused";
    readonly failure: ErrorKind;
    readonly message: string;
    readonly retryAfterMs?: number;
  };

const BEARER_PATTERN = /^bearer +(\S+) *$/i;

export class AccountAdmission {
  readonly limiter = new AccountLimiter({ instanceCount: 1 });
  readonly #clock: Clock;
  #access: CallerAccess = { kind: "open" };
  #accountsByDigest = new Map<string, ClientAccount>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether callers need no credential. */
  get isOpen(): boolean {
    return this.#access.kind === "open";
  }

  setAccess(access: CallerAccess): void {
    this.#access = access;
    this.#accountsByDigest = new Map();
    const accounts = access.kind === "open" ? [] : access.clientAccounts;
    for (const account of accounts) {
      for (const digest of account.credentialDigests) {
        this.#accountsByDigest.set(digest.toLowerCase(), account);
      }
    }
  }

  /**
   * Admits or refuses a request; call `release` once an admitted one is
   * answered.
   */
  admit(credential: string | undefined, service: string): Admission {
    if (this.isOpen) {
      return { kind: "open" };
    }
    const account = this.#findAccount(credential);
    if (account === undefined) {
      return refuse(
        "unauthenticated",
        "The credential belongs to no client account",
      );
    }
    const allowance = account.allowances.get(service);
    if (allowance === undefined) {
      return refuse(
        "forbidden-template",
        `Client account "${account.name}" may not use "${service}"`,
      );
    }
    const nowMs = this.#clock.readMs();
    const decision = this.limiter
      .admit(account.name, service, allowance, nowMs);
    if (decision.kind === "refused") {
      return {
        ...refuse("account-over-limit", `Limited to ${decision.limit}`),
        retryAfterMs: decision.retryAfterMs,
      };
    }
    const share = { clientAccount: account.name, weight: allowance.weight };
    return { kind: "admitted", service, share };
  }

  release(admission: Admission): void {
    if (admission.kind === "admitted") {
      const { service, share } = admission;
      this.limiter.release(share.clientAccount, service);
    }
  }

  /**
   * Looks the account up by digest, which prevents timing attacks: how a lookup
   * fails depends on the digest, which a caller cannot control byte by byte.
   */
  #findAccount(credential: string | undefined): ClientAccount | undefined {
    const secret = BEARER_PATTERN.exec(credential ?? "")?.[1];
    return secret === undefined
      ? undefined
      : this.#accountsByDigest.get(hash("sha256", secret, "hex"));
  }
}

function refuse(
  failure: ErrorKind,
  message: string,
): Admission & { readonly kind: "refused" } {
  return { kind: "refused", failure, message };
}
