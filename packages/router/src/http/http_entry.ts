/**
 * The HTTP server of an instance. A local moleculer broker owns it through
 * moleculer-web: the instance's own endpoints take moleculer-web's routes,
 * callers' requests go from the server straight to the gateway.
 *
 * Whatever moleculer brings for clustering stays off: no transporter, so no
 * discovery, remote calls or balancing; no retries, cache or metrics.
 * docs/design/http-entry.md says why and gives the measurement.
 */
import moleculer from "moleculer";
import type { Service, ServiceSchema } from "moleculer";
import ApiGateway from "moleculer-web";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { type CallerGateway, CallerHandler } from "./caller_handler.ts";
import { answerConnectionError } from "./connection_errors.ts";
import {
  createInstanceService,
  ENDPOINT_ALIASES,
  ENDPOINT_PATHS,
  type EndpointMeta,
  type InstanceView,
} from "./instance_endpoints.ts";

/** A caller 3 ms away sends a head in one packet; this is a stuck one. */
const HEAD_TIMEOUT_MS = 5_000;
/** A body within the limits takes milliseconds; a phone network needs a few seconds. */
const BODY_TIMEOUT_MS = 10_000;
/** How often Node looks for heads that are overdue. */
const CHECK_EVERY_MS = 500;
/** Longer than the idle time of usual balancers, so that they close first. */
const KEEP_ALIVE_MS = 65_000;
const MAX_HEAD_BYTES = 16 * 1024;

export interface HttpLimits {
  readonly headTimeoutMs: number;
  readonly bodyTimeoutMs: number;
}

export interface HttpEntryOptions {
  readonly instanceId: string;
  readonly host: string;
  /** 0 picks a free one. */
  readonly port: number;
  readonly gateway: CallerGateway;
  readonly instance: InstanceView;
  readonly limits?: HttpLimits;
}

const DEFAULT_LIMITS: HttpLimits = {
  headTimeoutMs: HEAD_TIMEOUT_MS,
  bodyTimeoutMs: BODY_TIMEOUT_MS,
};

export class HttpEntry {
  readonly #options: HttpEntryOptions;
  readonly #broker: moleculer.ServiceBroker;
  readonly #server: Server;
  #isStopping = false;

  constructor(options: HttpEntryOptions) {
    this.#options = options;
    const limits = options.limits ?? DEFAULT_LIMITS;
    this.#server = createServer(toServerOptions(limits));
    this.#server.on("clientError", answerConnectionError);
    this.#broker = new moleculer.ServiceBroker({
      nodeID: options.instanceId,
      logger: false,
      transporter: null,
      cacher: null,
      validator: false,
      metrics: false,
      tracing: false,
      internalServices: false,
      skipProcessEventRegistration: true,
    });
    this.#broker.createService(createInstanceService(options.instance));
    this.#broker.createService(this.#createGatewayService(limits));
  }

  /** Listens and gives the address, with the port that was picked. */
  async start(): Promise<string> {
    await this.#broker.start();
    const { port } = this.#server.address() as AddressInfo;
    return `${this.#options.host}:${port}`;
  }

  /** From now on each connection ends with its present request. */
  drain(): void {
    this.#isStopping = true;
  }

  /** Takes no new connections and lets requests in progress finish. */
  async stop(): Promise<void> {
    this.drain();
    await new Promise((resolve) => this.#server.close(resolve));
    await this.#broker.stop();
  }

  #createGatewayService(limits: HttpLimits): ServiceSchema {
    const server = this.#server;
    const callers = new CallerHandler({
      gateway: this.#options.gateway,
      bodyTimeoutMs: limits.bodyTimeoutMs,
      isStopping: () => this.#isStopping,
    });
    return {
      name: "http",
      mixins: [ApiGateway as unknown as ServiceSchema],
      settings: {
        ip: this.#options.host,
        port: this.#options.port,
        logRequest: null,
        logRequestParams: null,
        logResponse: null,
        logRouteRegistration: null,
        routes: [{
          path: "/",
          aliases: ENDPOINT_ALIASES,
          mappingPolicy: "restrict",
          bodyParsers: false,
          onBeforeCall: takeAuthorization,
        }],
      },
      methods: {
        createServer(this: Service) {
          this["server"] = server;
          server.on("request", (message, response) => {
            if (isEndpoint(message)) {
              this["httpHandler"](message, response);
            } else {
              void callers.handle(message, response);
            }
          });
        },
      },
    };
  }
}

function toServerOptions(limits: HttpLimits): ServerOptions {
  return {
    headersTimeout: limits.headTimeoutMs,
    // Node's own limit on a whole request; the body's own limit comes first.
    requestTimeout: limits.headTimeoutMs + 2 * limits.bodyTimeoutMs,
    connectionsCheckingInterval: CHECK_EVERY_MS,
    keepAliveTimeout: KEEP_ALIVE_MS,
    maxHeaderSize: MAX_HEAD_BYTES,
    noDelay: true,
  };
}

function isEndpoint(message: IncomingMessage): boolean {
  const url = message.url ?? "/";
  const queryAt = url.indexOf("?");
  return ENDPOINT_PATHS.has(queryAt < 0 ? url : url.slice(0, queryAt));
}

function takeAuthorization(
  context: { meta: EndpointMeta },
  _route: unknown,
  message: IncomingMessage,
  _response: ServerResponse,
): void {
  const { authorization } = message.headers;
  if (authorization !== undefined) {
    context.meta = { ...context.meta, authorization };
  }
}
