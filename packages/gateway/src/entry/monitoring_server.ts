/**
 * Serves readiness, status and metrics over HTTP, apart from the callers' port.
 */
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { closeIdleConnections } from "./idle_connections.ts";
import { type ListenerOptions, openListener } from "./open_listener.ts";

export interface MonitoringResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

export class MonitoringServer {
  readonly #server: Server;

  constructor(
    answer: (path: string) => MonitoringResponse | Promise<MonitoringResponse>,
  ) {
    this.#server = createServer((message, response) => {
      void Promise.resolve(answer(message.url ?? "/"))
        .then(({ status, contentType, body }) => {
          response.writeHead(status, { "content-type": contentType });
          response.end(body);
        });
    });
    closeIdleConnections(this.#server);
  }

  /** The port that the server listens on; chosen by the system for port 0. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  open(options: ListenerOptions): Promise<void> {
    return openListener(this.#server, options);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
