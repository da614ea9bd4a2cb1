/**
 * Renders a configuration as declarations with all defaults filled in, to show
 * the published configuration and to compare configurations field by field.
 */
import { stringify } from "yaml";
import { DIGEST_PREFIX } from "./client_account_schema.ts";
import type { ClientAccount, Configuration, Template } from "./template.ts";
import { formatDuration, formatRate, formatSize } from "./units.ts";

/** A document as plain values, with its fields in display order. */
export type RenderedDocument = Readonly<Record<string, unknown>>;

export function renderTemplate(template: Template): RenderedDocument {
  const { deadlines, limits } = template;
  return {
    kind: "Template",
    name: template.name,
    routes: template.routes.map(({ method, path, idempotent }) => ({
      method,
      path,
      idempotent,
    })),
    shardCount: template.shardCount,
    placesPerTarget: template.placesPerTarget,
    deadlines: {
      default: formatDuration(deadlines.defaultMs),
      max: formatDuration(deadlines.maxMs),
    },
    limits: {
      maxBody: formatSize(limits.maxBodyBytes),
      maxAnswer: formatSize(limits.maxAnswerBytes),
      maxQueuedPerTarget: limits.maxQueuedPerTarget,
      maxQueueTime: formatDuration(limits.maxQueueMs),
    },
    placement: { ...template.placement },
    retry: { ...template.retry },
    maxHotKeys: template.maxHotKeys,
    drainPriority: template.drainPriority,
  };
}

export function renderClientAccount(account: ClientAccount): RenderedDocument {
  return {
    kind: "ClientAccount",
    name: account.name,
    credentialDigests: account.credentialDigests
      .map((digest) => `${DIGEST_PREFIX}${digest}`),
    templates: account.templates.map((parameters) => ({
      template: parameters.template,
      weight: parameters.weight,
      rate: formatRate(parameters.requestsPerSecond),
      burst: parameters.burst,
      maxConcurrent: parameters.maxConcurrent,
    })),
  };
}

/** Renders one YAML file, which validates to the same configuration. */
export function renderConfiguration(configuration: Configuration): string {
  const documents = [
    ...configuration.templates.map(renderTemplate),
    ...configuration.clientAccounts.map(renderClientAccount),
  ];
  return documents.map((document) => stringify(document)).join("---\n");
}
