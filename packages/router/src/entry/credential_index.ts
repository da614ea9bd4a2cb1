/** From a caller's credential to its client account. */
import type {
  AccountTemplateParameters,
  ClientAccount,
} from "@lentilspur/declarations/template";
import { hash } from "node:crypto";

const BEARER_PATTERN = /^bearer +(\S+) *$/i;

export interface KnownAccount {
  readonly name: string;
  readonly templates: ReadonlyMap<string, AccountTemplateParameters>;
}

/**
 * Accounts by the SHA-256 of their credentials. A look-up by digest gives a
 * caller nothing to measure: how it fails depends on the digest, which nobody
 * can steer byte by byte.
 */
export class CredentialIndex {
  readonly #accounts = new Map<string, KnownAccount>();

  constructor(accounts: readonly ClientAccount[]) {
    for (const account of accounts) {
      const known: KnownAccount = {
        name: account.name,
        templates: new Map(
          account.templates.map((each) => [each.template, each]),
        ),
      };
      for (const digest of account.credentialDigests) {
        this.#accounts.set(digest.toLowerCase(), known);
      }
    }
  }

  /** Takes the value of an `authorization` field. */
  find(authorization: string | undefined): KnownAccount | undefined {
    const credential = BEARER_PATTERN.exec(authorization ?? "")?.[1];
    return credential === undefined
      ? undefined
      : this.#accounts.get(hashCredential(credential));
  }
}

export function hashCredential(credential: string): string {
  return hash("sha256", credential, "hex");
}
