/** Routes of which two could match one request. */
import type { DeclarationFault } from "./declaration_fault.ts";
import type { ValidDocument } from "./schema_checks.ts";
import { formatLocation, type Occurrence } from "./occurrence.ts";
import { hasPathOverlap } from "./route_path.ts";
import type { TemplateDocument } from "./template_schema.ts";

interface RouteOccurrence extends Occurrence {
  readonly method: string;
  readonly template: string;
}

/** Within one template and across all of them. */
export function checkRouteConflicts(
  templates: readonly ValidDocument<TemplateDocument>[],
): readonly DeclarationFault[] {
  const routes = templates.flatMap(listRoutes);
  return routes.flatMap((route, index) => {
    const earlier = routes.slice(0, index).find((other) =>
      other.method === route.method && hasPathOverlap(other.value, route.value)
    );
    return earlier === undefined ? [] : [createRouteFault(route, earlier)];
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

function createRouteFault(
  route: RouteOccurrence,
  earlier: RouteOccurrence,
): DeclarationFault {
  return route.source.createFault(
    route.path,
    `${route.method} ${route.value}, which can match the same request as ${earlier.method} ${earlier.value} of template ${
      JSON.stringify(earlier.template)
    } at ${formatLocation(earlier)}`,
    "routes of which at most one matches any request",
  );
}
