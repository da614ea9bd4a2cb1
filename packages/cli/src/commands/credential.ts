/** `lentilspur credential`: creates a credential and the digest to declare. */
import { createHash, randomBytes } from "node:crypto";
import { DIGEST_PREFIX } from "@lentilspur/declarations/client_account_schema";
import { command, flag } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";

/**
 * 256 bits: a credential is as hard to guess as its SHA-256 digest is to
 * invert.
 */
const CREDENTIAL_BYTES = 32;

export function createCredentialCommand(context: CommandContext) {
  return command({
    name: "credential",
    description:
      "Create a credential for a client account. Give the credential only to the caller; put the digest into credentialDigests. To replace a credential without an interruption, declare both digests, publish, let the caller switch to the new credential, then remove the old digest",
    args: {
      json: flag({
        long: "json",
        description: "Print one JSON object for scripts",
      }),
    },
    handler: ({ json }): ExitCode => {
      const credential = randomBytes(CREDENTIAL_BYTES).toString("base64url");
      const digest = hashCredential(credential);
      if (json) {
        context.print(JSON.stringify({ credential, digest }));
      } else {
        context.print(`credential: ${credential}`);
        context.print(`digest:     ${digest}`);
      }
      return EXIT_CODES.done;
    },
  });
}

/** Returns the digest of a credential as declarations write it. */
export function hashCredential(credential: string): string {
  const digest = createHash("sha256").update(credential).digest("hex");
  return `${DIGEST_PREFIX}${digest}`;
}
