/** Small HTTP listeners beside the callers' one: readiness and metrics. */
import { createServer, type Server } from "node:http";

export interface SideAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

export class SideServer {
  readonly #server: Server;

  constructor(answer: () => SideAnswer | Promise<SideAnswer>) {
    this.#server = createServer((_message, response) => {
      void Promise.resolve(answer()).then(({ status, contentType, body }) => {
        response.writeHead(status, { "content-type": contentType });
        response.end(body);
      });
    });
  }

  open(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
