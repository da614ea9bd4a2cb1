/** Interface for checking whether a target responds on a new connection. */
import type { RoutingTarget } from "./routing_table.ts";

export type ProbeOutcome =
  /** A response arrived, whatever its status. */
  | { readonly kind: "answered" }
  | {
    readonly kind: "failed";
    readonly failure: "no-connection" | "reset" | "silent";
  };

export interface TargetProber {
  /**
   * Never rejects, and resolves within a second. `healthPath` is the path of
   * the health checks of the target's service, if it has one.
   */
  probe(target: RoutingTarget, healthPath?: string): Promise<ProbeOutcome>;
}
