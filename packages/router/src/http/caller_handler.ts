/** Carries callers' requests from Node's HTTP server to the gateway and back. */
import type { HeaderField } from "@lentilspur/ports/target";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerAnswer, CallerRequest } from "../entry/caller.ts";
import { IncomingBody } from "./body_reader.ts";

/** Statuses whose answers have no body (RFC 9110). */
const BODILESS: ReadonlySet<number> = new Set([204, 304]);

/** The gateway, as far as HTTP needs it. */
export interface CallerGateway {
  handle(request: CallerRequest, signal: AbortSignal): Promise<CallerAnswer>;
}

export interface CallerHandlerOptions {
  readonly gateway: CallerGateway;
  readonly bodyTimeoutMs: number;
  /** True while stopping: connections are not kept for further requests. */
  readonly isStopping: () => boolean;
}

export class CallerHandler {
  readonly #options: CallerHandlerOptions;

  constructor(options: CallerHandlerOptions) {
    this.#options = options;
  }

  async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { gateway, bodyTimeoutMs } = this.#options;
    const controller = new AbortController();
    response.on("close", () => {
      if (!response.writableFinished) {
        controller.abort();
      }
    });
    const answer = await gateway.handle({
      method: message.method ?? "GET",
      path: message.url ?? "/",
      headers: listFields(message.rawHeaders),
      body: new IncomingBody(message, bodyTimeoutMs),
    }, controller.signal);
    this.#write(answer, message, response);
  }

  /** A connection whose body was left unread cannot carry a next request. */
  #write(
    answer: CallerAnswer,
    message: IncomingMessage,
    response: ServerResponse,
  ): void {
    if (response.destroyed) {
      return;
    }
    const fields = answer.headers.flatMap(({ name, value }) => [name, value]);
    if (!BODILESS.has(answer.status)) {
      fields.push("content-length", String(answer.body.byteLength));
    }
    const closes = !message.complete || this.#options.isStopping();
    if (closes) {
      fields.push("connection", "close");
    }
    response.writeHead(answer.status, fields);
    response.end(BODILESS.has(answer.status) ? undefined : answer.body);
  }
}

function listFields(rawHeaders: readonly string[]): readonly HeaderField[] {
  const fields: HeaderField[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    fields.push({ name, value: rawHeaders[index + 1]! });
  }
  return fields;
}
