/** Detects routes that can match the same request. */
import type { DeclarationFault } from "./declaration_fault.ts";
import type { ValidDocument } from "./schema_checks.ts";
import { formatLocation, type Occurrence } from "./occurrence.ts";
import { hasPathOverlap } from "./route_path.ts";
import type { TemplateDocument } from "./template_schema.ts";

interface RouteOccurrence extends Occurrence {
  readonly method: string;
  readonly template: string;
}

/** Compares all routes, both within a template and across templates. */
export function checkRouteConflicts(
  templates: readonly ValidDocument<TemplateDocument>[],
): readonly DeclarationFault[] {
  const routes = templates.flatMap(listRoutes);
  return routes.flatMap((route, index) => {
    const earlier = routes.slice(0, index).find((other) =>
      other.method === route.method && hasPathOverlap(other.value, route.value)
    );
    return earlier === undefined ? [] : [createConflictFault(route, earlier)];
  });
}

function listRoutes(
  { source, content }: ValidDocument<TemplateDocument>,
): readonly RouteOccurrence[] {
  return content.routes.map((route, index) => ({
    value: route.path,
    method: route.method,
    template: content.name,
    source,
    path: ["routes", index, "path"],
  }));
}

function createConflictFault(
  route: RouteOccurrence,
  earlier: RouteOccurrence,
): DeclarationFault {
  return route.source.createFault(
    route.path,
    `${route.method} ${route.value}, which can match the same request as ${earlier.method} ${earlier.value} of template ${
      JSON.stringify(earlier.template)
    } at ${formatLocation(earlier)}`,
    "routes of which no two match the same request",
  );
}
