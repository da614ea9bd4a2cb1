/** A request server in the process of a test, with callers on raw sockets. */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { MemoryAccount } from "@lentilspur/transport/memory_account";
import type { CallerRequest, FinalResponse } from "./caller_request.ts";
import { RequestBodies } from "./request_bodies.ts";
import { RequestServer, type RequestServerOptions } from "./request_server.ts";

/** Far above the time that any test needs. */
const MAX_TURNS = 20_000;

/** Answers a request with its id as the body, when the test says so. */
export type Answer = () => void;

/** What a caller has received so far. */
export interface TrialCaller {
  readonly socket: Socket;
  readonly text: () => string;
}

/** Options of a server that limits and reports nothing. */
export function createServerOptions(
  handle: RequestServerOptions["handle"],
): RequestServerOptions {
  return {
    maxConnections: Infinity,
    observeClosedConnection: () => undefined,
    observeLateCaller: () => undefined,
    bodies: new RequestBodies({
      memory: new MemoryAccount(Infinity),
      observeRefusal: () => undefined,
    }),
    clock: new SystemClock(),
    host: "127.0.0.1",
    port: 0,
    readStallMs: () => 0,
    readTotalStallMs: () => 0,
    parseMetadata: (headers) => ({
      requestId: headers.find(({ name }) => name === "x-id")?.value,
      deadlineMs: undefined,
      key: undefined,
      credential: undefined,
    }),
    isIdempotent: ({ method }) => method === "GET",
    handle,
    observeDelivery: () => undefined,
    reportFailure: () => undefined,
    reportFault: () => undefined,
  };
}

export class ServerTrial {
  readonly server: RequestServer;
  /** Ids of requests that were passed on. */
  readonly passedOn: string[] = [];
  readonly answers = new Map<string, Answer>();
  readonly #callers: Socket[] = [];

  constructor(options: Partial<RequestServerOptions> = {}) {
    this.server = new RequestServer({
      ...createServerOptions((request) => this.#handle(request)),
      ...options,
    });
  }

  async openCaller(): Promise<TrialCaller> {
    const socket = connect({
      port: this.server.port,
      host: "127.0.0.1",
      allowHalfOpen: true,
      noDelay: true,
    });
    const received: Buffer[] = [];
    socket.on("data", (bytes) => received.push(bytes));
    socket.on("error", () => undefined);
    await once(socket, "connect");
    this.#callers.push(socket);
    return { socket, text: () => Buffer.concat(received).toString() };
  }

  async close(): Promise<void> {
    this.#callers.forEach((socket) => socket.destroy());
    await this.server.close();
  }

  #handle({ requestId }: CallerRequest): Promise<FinalResponse> {
    this.passedOn.push(requestId);
    return new Promise((resolve) => {
      this.answers.set(requestId, () =>
        resolve({
          kind: "answered",
          status: 200,
          headers: [],
          body: Buffer.from(`<${requestId}>`),
          isSelfDelimited: true,
        }));
    });
  }
}

/** Formats a request without a body. */
export function formatRequest(
  id: string,
  { method = "GET", headers = "" } = {},
): string {
  return `${method} / HTTP/1.1\r\nHost: a\r\nx-id: ${id}\r\n${headers}\r\n`;
}

/** Statuses and bodies of responses, in the order of their arrival. */
export function listResponses({ text }: TrialCaller): readonly string[] {
  return [...text().matchAll(/HTTP\/1\.1 (\d+)|<([\w-]+)>/g)]
    .map(([, status, body]) => status ?? body!);
}

export async function waitUntil(isTrue: () => boolean): Promise<void> {
  for (let turn = 0; !isTrue(); turn++) {
    if (turn === MAX_TURNS) {
      throw new Error("What the test waits for did not come");
    }
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

/** Waits until what is on its way over loopback has arrived. */
export async function waitForArrivals(): Promise<void> {
  for (let turn = 0; turn < 50; turn++) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}
