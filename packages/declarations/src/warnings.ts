/**
 * Lists warnings: declarations that are valid but probably not intended.
 * `lentilspur check` prints warnings; they do not prevent publication.
 */
import { TEMPLATE_DEFAULTS } from "./defaults.ts";
import type { ClientAccount, Configuration, Template } from "./template.ts";

/** Returns one sentence for each warning. */
export function listWarnings(configuration: Configuration): readonly string[] {
  const { templates, clientAccounts } = configuration;
  return [
    ...templates.flatMap(listRouteWarnings),
    ...templates.flatMap(listFieldWarnings),
    ...templates
      .filter(({ name }) => !isAllowedForAnyAccount(name, clientAccounts))
      .map(({ name }) => `No client account may use template "${name}"`),
  ];
}

/** Browsers, proxies and client libraries retry a GET on their own. */
function listRouteWarnings(template: Template): readonly string[] {
  return template.routes
    .filter(({ method, idempotent }) => method === "GET" && !idempotent)
    .map(({ path }) =>
      `Template "${template.name}" declares GET ${path} as non-idempotent, but browsers, proxies and client libraries retry GET on their own; use POST if a repeated request does harm`
    );
}

/**
 * Fields without effect, with the reason. The schema still accepts them, so
 * that existing declarations stay valid.
 */
const IGNORED_FIELDS = {
  placesPerTarget: "each target reports how many requests it can run",
  placement: "keys are moved according to the utilization of their owners",
  maxHotKeys: "hotspots are split for as long as splitting reduces load",
  drainPriority: "all keys of a leaving target move at once",
} as const;

function listFieldWarnings(template: Template): readonly string[] {
  return (Object.keys(IGNORED_FIELDS) as (keyof typeof IGNORED_FIELDS)[])
    .filter((field) =>
      JSON.stringify(template[field]) !==
        JSON.stringify(TEMPLATE_DEFAULTS[field])
    )
    .map((field) =>
      `Template "${template.name}" declares ${field}, which has no effect: ${
        IGNORED_FIELDS[field]
      }`
    );
}

function isAllowedForAnyAccount(
  template: string,
  accounts: readonly ClientAccount[],
): boolean {
  return accounts.some(({ templates }) =>
    templates.some((parameters) => parameters.template === template)
  );
}
