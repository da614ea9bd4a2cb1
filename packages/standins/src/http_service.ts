/** A small HTTP server for the stand-ins: routes, JSON in and out. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";

/** One call as a route sees it. */
export interface Call {
  readonly method: string;
  readonly url: URL;
  readonly headers: IncomingMessage["headers"];
  readonly body: Uint8Array;
  /** Parts of the path that the route's pattern captured, decoded. */
  readonly captured: readonly string[];
  /** Aborts when the connection ends before the answer. */
  readonly signal: AbortSignal;
}

export interface Reply {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Bytes as they are, or anything else as JSON. */
  readonly body?: unknown;
}

/** Null resets the connection without an answer. */
export type Handler = (call: Call) => Reply | null | Promise<Reply | null>;

export interface Route {
  readonly method: string;
  /** Matched against the whole path. */
  readonly pattern: RegExp;
  readonly handle: Handler;
}

export interface HttpService {
  /** `host:port` */
  readonly address: string;
  close(): Promise<void>;
}

export interface HttpServiceOptions {
  readonly port?: number;
  readonly host?: string;
  readonly routes: readonly Route[];
  /** Takes what no route matches. */
  readonly fallback?: Handler;
}

const MAX_BODY_BYTES = 64 * 1024 * 1024;

export async function startHttpService(
  options: HttpServiceOptions,
): Promise<HttpService> {
  const server = createServer((message, response) =>
    void handleMessage(options, message, response)
  );
  const host = options.host ?? "127.0.0.1";
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port ?? 0, host, resolve);
  });
  const bound = server.address();
  const port = typeof bound === "object" ? bound?.port : undefined;
  return { address: `${host}:${port}`, close: () => closeServer(server) };
}

/** Parses a JSON body; anything else is an empty object. */
export function parseBody(call: Call): unknown {
  try {
    return JSON.parse(Buffer.from(call.body).toString("utf8"));
  } catch {
    return {};
  }
}

async function handleMessage(
  options: HttpServiceOptions,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const ended = new AbortController();
  response.on("close", () => ended.abort());
  const body = await readBody(message);
  if (body === undefined) {
    response.destroy();
    return;
  }
  const url = new URL(message.url ?? "/", "http://standin");
  const method = message.method ?? "GET";
  const { handle, captured } = matchRoute(options, method, url.pathname);
  const { headers } = message;
  const { signal } = ended;
  const call: Call = { method, url, headers, body, captured, signal };
  const reply = await handle(call);
  if (reply === null) {
    message.socket.destroy();
    return;
  }
  writeReply(response, reply);
}

function matchRoute(
  options: HttpServiceOptions,
  method: string,
  path: string,
): { readonly handle: Handler; readonly captured: readonly string[] } {
  for (const route of options.routes) {
    const match = route.method === method ? route.pattern.exec(path) : null;
    if (match !== null) {
      const captured = match.slice(1).map(decodeURIComponent);
      return { handle: route.handle, captured };
    }
  }
  const answerNotFound: Handler = () => ({ status: 404 });
  return { handle: options.fallback ?? answerNotFound, captured: [] };
}

/** Undefined where the body is cut or too long. */
async function readBody(
  message: IncomingMessage,
): Promise<Uint8Array | undefined> {
  const chunks: Uint8Array[] = [];
  let length = 0;
  try {
    for await (const chunk of message as AsyncIterable<Uint8Array>) {
      length += chunk.length;
      if (length > MAX_BODY_BYTES) {
        return undefined;
      }
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks, length);
}

function writeReply(response: ServerResponse, reply: Reply): void {
  const isBytes = reply.body instanceof Uint8Array;
  const body = isBytes
    ? reply.body as Uint8Array
    : Buffer.from(JSON.stringify(reply.body ?? {}));
  response.writeHead(reply.status, {
    "content-type": "application/json",
    "content-length": String(body.length),
    ...reply.headers,
  });
  response.end(body);
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
