/**
 * Builds the routing table of an instance from a published configuration. Each
 * template becomes a service whose targets own its keys, each route of a
 * template becomes a route by method and path, and each client account gets an
 * allowance for each of its templates.
 */
import type {
  AccountAllowance,
  ClientAccount as RoutedAccount,
  Route as RoutedRoute,
  RoutingTable,
  Service,
} from "@lentilspur/ports/routing_table";
import { KEY_SEGMENT, splitRoutePath } from "./route_path.ts";
import type {
  AccountTemplateParameters,
  ClientAccount,
  Configuration,
  Route,
  Template,
} from "./template.ts";

/**
 * Connections that one target accepts from all instances together; each
 * instance uses its share. The two current deployments have different limits;
 * this is the lower one.
 */
const MAX_CONNECTIONS = 130;
/** A common default of HTTP servers. */
const HEADER_TIMEOUT_MS = 5_000;
/** Longer than that of common load balancers, so that they close first. */
const IDLE_TIMEOUT_MS = 65_000;

export function buildRoutingTable(
  configuration: Configuration,
  version: number,
): RoutingTable {
  const { templates, clientAccounts } = configuration;
  const bodyLimits = templates.map(({ limits }) => limits.maxBodyBytes);
  return {
    version,
    routes: templates.flatMap((template) =>
      template.routes.map((route) => toRoute(template, route))
    ),
    services: new Map(templates.map((each) => [each.name, toService(each)])),
    limits: {
      maxBodyBytes: Math.max(0, ...bodyLimits),
      headTimeoutMs: HEADER_TIMEOUT_MS,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
    },
    access: {
      kind: "accounts",
      clientAccounts: clientAccounts.map(toAccount),
    },
  };
}

function toRoute(template: Template, route: Route): RoutedRoute {
  const { name, deadlines, limits, retry } = template;
  const segments = splitRoutePath(route.path)
    .map((segment) => segment === KEY_SEGMENT ? null : segment);
  return {
    name: `${name} ${route.method} ${route.path}`,
    match: { kind: "pattern", method: route.method, segments },
    idempotent: route.idempotent,
    timeoutMs: deadlines.maxMs,
    defaultDeadlineMs: deadlines.defaultMs,
    // Callers usually wait for the default deadline, so it is also the goal.
    goalMs: deadlines.defaultMs,
    maxAttempts: retry.maxAttempts,
    priority: 0,
    maxWaitMs: limits.maxQueueMs,
    maxBodyBytes: limits.maxBodyBytes,
    maxAnswerBytes: limits.maxAnswerBytes,
    parts: [{ service: name, weight: 1 }],
  };
}

function toService(template: Template): Service {
  return {
    name: template.name,
    keyed: true,
    maxConnections: MAX_CONNECTIONS,
    retryRatio: template.retry.budgetRatio,
    maxWaitingPerTarget: template.limits.maxQueuedPerTarget,
  };
}

function toAccount(account: ClientAccount): RoutedAccount {
  return {
    name: account.name,
    credentialDigests: account.credentialDigests,
    allowances: new Map(
      account.templates.map((each) => [each.template, toAllowance(each)]),
    ),
  };
}

function toAllowance(parameters: AccountTemplateParameters): AccountAllowance {
  const { weight, requestsPerSecond, burst, maxConcurrent } = parameters;
  return { weight, requestsPerSecond, burst, maxConcurrent };
}
