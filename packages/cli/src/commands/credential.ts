/** `lentilspur credential`: a new credential and the digest to declare. */
import { createHash, randomBytes } from "node:crypto";
import { DIGEST_PREFIX } from "@lentilspur/declarations/client_account_schema";
import { command, flag } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";

/** 256 bits: as hard to guess as its digest is to invert. */
const CREDENTIAL_BYTES = 32;

export function createCredentialCommand(context: CommandContext) {
  return command({
    name: "credential",
    description:
      "Make a credential for a client account. The credential goes to the caller and nowhere else; the digest goes into credentialDigests. To replace a credential without a gap, declare both digests, publish, let the caller change over, then remove the old digest",
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

/** The digest of a credential in the form in which it is declared. */
export function hashCredential(credential: string): string {
  const digest = createHash("sha256").update(credential).digest("hex");
  return `${DIGEST_PREFIX}${digest}`;
}
