/** Schema of `kind: ClientAccount` documents, and their conversion. */
import { z } from "zod";
import { compareText } from "./declaration_fault.ts";
import { ACCOUNT_DEFAULTS } from "./defaults.ts";
import {
  createIntegerSchema,
  createNumberSchema,
  createObjectSchema,
  createRateSchema,
  nameSchema,
} from "./field_schemas.ts";
import type { ClientAccount } from "./template.ts";

/** Distinguishes a digest from a credential that was pasted by mistake. */
export const DIGEST_PREFIX = "sha256:";

const DIGEST_PATTERN = /^sha256:[0-9a-f]{64}$/;

const DIGEST_ALLOWED =
  `${DIGEST_PREFIX} followed by 64 hex digits (0-9a-f), as printed by "lentilspur credential"; never the credential itself`;

const DIGESTS_ALLOWED = `a list of 1 to 8 strings, each ${DIGEST_ALLOWED}`;

const TEMPLATES_ALLOWED = "a list of 1 to 64 templates with their parameters";

const accountTemplateSchema = createObjectSchema({
  template: nameSchema,
  weight: createNumberSchema({ min: 0.01, max: 1_000 })
    .default(ACCOUNT_DEFAULTS.weight),
  rate: createRateSchema().prefault(ACCOUNT_DEFAULTS.rate),
  burst: createIntegerSchema({ min: 1, max: 1_000_000 })
    .default(ACCOUNT_DEFAULTS.burst),
  maxConcurrent: createIntegerSchema({ min: 1, max: 65_536 })
    .default(ACCOUNT_DEFAULTS.maxConcurrent),
});

export const clientAccountSchema = createObjectSchema({
  kind: z.literal("ClientAccount"),
  name: nameSchema,
  credentialDigests: z
    .array(
      z
        .string({ error: DIGEST_ALLOWED })
        .regex(DIGEST_PATTERN, { error: DIGEST_ALLOWED }),
      { error: DIGESTS_ALLOWED },
    )
    .min(1, { error: DIGESTS_ALLOWED })
    .max(8, { error: DIGESTS_ALLOWED }),
  templates: z
    .array(accountTemplateSchema, { error: TEMPLATES_ALLOWED })
    .min(1, { error: TEMPLATES_ALLOWED })
    .max(64, { error: TEMPLATES_ALLOWED }),
});

export type ClientAccountDocument = z.output<typeof clientAccountSchema>;

/**
 * Converts a valid document into the account that the rest of the system uses.
 * Sorts lists whose order has no meaning, so that reordering them in a file
 * does not count as a change.
 */
export function toClientAccount(
  document: ClientAccountDocument,
): ClientAccount {
  const templates = document.templates.map((parameters) => ({
    template: parameters.template,
    weight: parameters.weight,
    requestsPerSecond: parameters.rate,
    burst: parameters.burst,
    maxConcurrent: parameters.maxConcurrent,
  }));
  const digests = document.credentialDigests
    .map((digest) => digest.slice(DIGEST_PREFIX.length));
  return {
    name: document.name,
    credentialDigests: digests.sort(compareText),
    templates: templates.sort((a, b) => compareText(a.template, b.template)),
  };
}
