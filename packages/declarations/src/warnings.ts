/**
 * What is valid but seldom meant. Warnings stop nothing; `check` shows
 * them.
 */
import type { ClientAccount, Configuration, Template } from "./template.ts";

/** Each is one sentence. */
export function listWarnings(configuration: Configuration): readonly string[] {
  const { templates, clientAccounts } = configuration;
  return [
    ...templates.flatMap(listRouteWarnings),
    ...templates
      .filter(({ name }) => !isAllowedToAnyone(name, clientAccounts))
      .map(({ name }) => `No client account may use template "${name}"`),
  ];
}

/** Browsers, proxies and client libraries repeat a GET without asking. */
function listRouteWarnings(template: Template): readonly string[] {
  return template.routes
    .filter(({ method, idempotent }) => method === "GET" && !idempotent)
    .map(({ path }) =>
      `Template "${template.name}" declares GET ${path} as non-idempotent, but callers' tools repeat GET freely; use POST where a second run does harm`
    );
}

function isAllowedToAnyone(
  template: string,
  accounts: readonly ClientAccount[],
): boolean {
  return accounts.some(({ templates }) =>
    templates.some((parameters) => parameters.template === template)
  );
}
