import assert from "node:assert/strict";
import net from "node:net";
import { after, test } from "node:test";
import type {
  ForwardReply,
  ForwardRequest,
  PeerService,
} from "@lentilspur/ports/peer";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { PeerClient } from "./peer_client.ts";
import { PeerServer } from "./peer_server.ts";

const MAX_MESSAGE_BYTES = 1 << 20;

const REQUEST: ForwardRequest = {
  requestId: "0-1-a.1",
  firstSend: true,
  clientAccount: "abay-member",
  template: "case-files",
  key: "case-9",
  idempotent: false,
  method: "POST",
  path: "/case-files/case-9/demands?x=1",
  headers: [{ name: "content-type", value: "text/plain" }],
  body: Buffer.from("demand"),
  remainingMs: 500,
  foldedOffset: 7,
};

const cleanups: (() => Promise<void> | void)[] = [];
after(async () => {
  for (const cleanup of cleanups.reverse()) {
    await cleanup();
  }
});

class RecordingService implements PeerService {
  readonly forwarded: ForwardRequest[] = [];
  readonly aborted: string[] = [];
  reply: ForwardReply | "wait-for-abort" = {
    kind: "not-steward",
    foldedOffset: 9,
  };

  renew() {
    return Promise.resolve({ kind: "pledged" as const });
  }

  consent() {
    return Promise.resolve({ kind: "pledged" as const, forMs: 12.5 });
  }

  async forward(
    request: ForwardRequest,
    signal: AbortSignal,
  ): Promise<ForwardReply> {
    this.forwarded.push(request);
    if (this.reply !== "wait-for-abort") {
      return this.reply;
    }
    await new Promise((resolve) => signal.addEventListener("abort", resolve));
    this.aborted.push(request.requestId);
    return { kind: "not-steward", foldedOffset: 0 };
  }

  transfer() {
    return Promise.resolve();
  }

  reportLoad() {
    return Promise.resolve();
  }

  reportDemand() {
    return Promise.resolve({ others: [] });
  }
}

async function startServer(service: PeerService): Promise<string> {
  const server = new PeerServer({
    instanceId: "steward",
    host: "127.0.0.1",
    port: 0,
    maxMessageBytes: MAX_MESSAGE_BYTES,
    service,
  });
  cleanups.push(() => server.stop());
  return await server.start();
}

function createClient(): PeerClient {
  const client = new PeerClient({
    clock: new SystemClock(),
    maxMessageBytes: MAX_MESSAGE_BYTES,
  });
  cleanups.push(() => client.close());
  return client;
}

test("requests and answers cross unchanged", async () => {
  const service = new RecordingService();
  service.reply = {
    kind: "answered",
    target: "t1",
    answer: {
      status: 201,
      headers: [{ name: "set-cookie", value: "a" }, {
        name: "set-cookie",
        value: "b",
      }],
      body: Buffer.from([0, 255, 1]),
    },
  };
  const peer = { id: "steward", address: await startServer(service) };
  const client = createClient();
  const signal = new AbortController().signal;
  const answered = await client.forward(peer, REQUEST, signal);
  assert.deepEqual(service.forwarded, [REQUEST]);
  assert.deepEqual(answered.val, service.reply);
  service.reply = {
    kind: "failed",
    error: {
      kind: "queue-full",
      outcome: "not-run",
      message: "full",
      retryAfterMs: 25,
    },
  };
  const failed = await client.forward(peer, REQUEST, signal);
  assert.deepEqual(failed.val, service.reply);
  const consent = await client.consent(peer, { holder: "a", successor: "b" });
  assert.deepEqual(consent.val, { kind: "pledged", forMs: 12.5 });
});

test("a call for an earlier process at the address reaches no service", async () => {
  // A guardian restarts on its old address and has forgotten its consent. A
  // holder renews with the name of the earlier process. Were the call served,
  // the holder would count a pledge that binds nobody.
  const service = new RecordingService();
  const address = await startServer(service);
  const result = await createClient().forward(
    { id: "earlier", address },
    REQUEST,
    new AbortController().signal,
  );
  assert.equal(result.ok, false);
  assert.equal((result.val as { kind: string }).kind, "not-sent");
  assert.deepEqual(service.forwarded, []);
});

test("a refused connection proves that nothing was sent", async () => {
  const reserved = net.createServer();
  await new Promise<void>((resolve) => reserved.listen(0, resolve));
  const { port } = reserved.address() as net.AddressInfo;
  await new Promise((resolve) => reserved.close(resolve));
  const result = await createClient().renew(
    { id: "steward", address: `127.0.0.1:${port}` },
    { holder: "a", leaseMs: 2_000, foldedOffset: 1 },
  );
  assert.equal((result.val as { kind: string }).kind, "not-sent");
});

test("a caller that goes away aborts the peer's work", async () => {
  const service = new RecordingService();
  service.reply = "wait-for-abort";
  const peer = { id: "steward", address: await startServer(service) };
  const controller = new AbortController();
  const call = createClient().forward(
    peer,
    { ...REQUEST, remainingMs: 60_000 },
    controller.signal,
  );
  while (service.forwarded.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  controller.abort();
  assert.equal(((await call).val as { kind: string }).kind, "lost");
  while (service.aborted.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  assert.deepEqual(service.aborted, [REQUEST.requestId]);
});

test("a connection that went silent is replaced by a fresh one", async () => {
  // A firewall forgets an open connection: bytes written on it vanish, yet a
  // new connection to the same address works. A caller's first request gets
  // no answer and must be told `lost`; the next one must not wait for the
  // dead connection too.
  const service = new RecordingService();
  const address = await startServer(service);
  const relay = await startRelay(address);
  const peer = { id: "steward", address: relay.address };
  const client = createClient();
  const signal = new AbortController().signal;
  assert.equal((await client.forward(peer, REQUEST, signal)).ok, true);
  relay.forgetConnections();
  const lost = await client.forward(
    peer,
    { ...REQUEST, remainingMs: 50 },
    signal,
  );
  assert.equal((lost.val as { kind: string }).kind, "lost");
  assert.equal((await client.forward(peer, REQUEST, signal)).ok, true);
});

interface Relay {
  readonly address: string;
  /** Drops every byte of the connections open now, without closing them. */
  forgetConnections(): void;
}

async function startRelay(to: string): Promise<Relay> {
  const [host = "", port = ""] = to.split(":");
  const pairs: (readonly [net.Socket, net.Socket])[] = [];
  const server = net.createServer((inner) => {
    const outer = net.connect(Number(port), host);
    inner.pipe(outer).pipe(inner);
    for (const socket of [inner, outer]) {
      socket.on("error", () => undefined);
    }
    pairs.push([inner, outer]);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  cleanups.push(() => {
    pairs.flat().forEach((socket) => socket.destroy());
    server.close();
  });
  return {
    address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
    forgetConnections: () => {
      for (const [inner, outer] of pairs.splice(0)) {
        cleanups.push(() => {
          inner.destroy();
          outer.destroy();
        });
        inner.unpipe();
        outer.unpipe();
        inner.resume();
        outer.resume();
      }
    },
  };
}
