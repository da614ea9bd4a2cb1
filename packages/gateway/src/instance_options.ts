/** The options of an instance, with the adapter to its platform. */
import type { Clock } from "@lentilspur/ports/clock";
import type { Result } from "@lentilspur/outcomes/result";
import type { HeaderField } from "@lentilspur/ports/header_field";
import type { KeyOrderSender } from "@lentilspur/ports/key_orders";
import type { RequestSender } from "@lentilspur/ports/request_sender";
import type { TargetProber } from "@lentilspur/ports/target_prober";
import type {
  RoutingTable,
  RoutingTarget,
} from "@lentilspur/ports/routing_table";
import type { Store, StoreEraChange } from "@lentilspur/ports/store";
import type { ReadAheadBudget } from "@lentilspur/transport/read_ahead_budget";
import type { RequestMetadata } from "./entry/caller_request.ts";
import type {
  ResolvedGatewaySettings,
  StoreLayout,
} from "./gateway_settings.ts";

/** The calls to the platform and the decoding of its messages. */
export interface InstanceAdapter {
  readonly store: Store;
  readonly orders: KeyOrderSender;
  readonly sender: RequestSender;
  readonly prober: TargetProber;
  readonly storeLayout: StoreLayout;
  readonly parseMetadata: (headers: readonly HeaderField[]) => RequestMetadata;
  readonly decodeConfiguration: (text: string) => Result<RoutingTable, string>;
  readonly decodeTarget: (
    id: string,
    text: string,
  ) => Result<RoutingTarget, string>;
  readonly close: () => void;
}

export interface InstanceOptions {
  readonly settings: ResolvedGatewaySettings;
  readonly clock: Clock;
  readonly stream: NodeJS.WritableStream;
  readonly createAdapter: (tools: AdapterTools) => InstanceAdapter;
}

/** What an adapter reports to its instance. */
export interface AdapterTools {
  readonly observeStoreCall: (call: string, outcome: string) => void;
  readonly observeStoreEra: (change: StoreEraChange) => void;
  /** Memory for large responses that are read ahead. */
  readonly readAhead: ReadAheadBudget;
}

/** The ports of one instance that are in use. */
export interface InstancePorts {
  readonly request: number;
  readonly status: number;
  readonly peer: number;
  readonly metrics: number;
}
