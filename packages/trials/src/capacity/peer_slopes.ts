/**
 * What peers cost each other over gRPC on loopback: bytes, processor time and
 * memory. Client and server run in this one process, so a figure is the sum of
 * both ends, which is what an instance bears that plays both parts as often.
 */
import type {
  DemandReply,
  ForwardRequest,
  PeerAddress,
  PeerService,
  RenewRequest,
} from "@lentilspur/ports/peer";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { PeerClient } from "@lentilspur/protocol/peer_client";
import { PeerServer } from "@lentilspur/protocol/peer_server";
import {
  CountingRelay,
  measureLiveBytes,
  measureProcessorTimeEach,
  readProcessorTime,
} from "./meters.ts";

export interface PeerSlopes {
  readonly renewBytes: number;
  readonly renewMicroseconds: number;
  readonly forwardBytes: number;
  readonly forwardMicroseconds: number;
  readonly memoryBytesPerPeer: number;
  /** Keepalive pings of a connected peer that says nothing else. */
  readonly idleBytesPerPeerAndSecond: number;
  readonly idleMicrosecondsPerPeerAndSecond: number;
}

const RENEWALS = 4_000;
const FORWARDS = 8_000;
const FORWARDS_AT_ONCE = 32;
const CONNECTED_PEERS = 60;
const IDLE_MS = 5_000;
const MAX_MESSAGE_BYTES = 1024 * 1024;
const BODY_BYTES = 512;

const RENEW: RenewRequest = {
  holder: "entry-11999-5f2c9a",
  leaseMs: 2_000,
  foldedOffset: 123_456_789,
};

const FORWARD: ForwardRequest = {
  requestId: "2f-1a2b3c4d-entry-11999-5f2c9a.1234567",
  firstSend: true,
  clientAccount: "member-insurer-17",
  template: "case-files",
  key: "case-1234567",
  idempotent: true,
  method: "GET",
  path: "/case-files/case-1234567",
  headers: [
    { name: "accept", value: "application/json" },
    { name: "user-agent", value: "member-portal/3.1" },
  ],
  body: new Uint8Array(0),
  remainingMs: 1_000,
  foldedOffset: 123_456_789,
};

class AnsweringService implements PeerService {
  readonly #body = new Uint8Array(BODY_BYTES);

  renew(): ReturnType<PeerService["renew"]> {
    return Promise.resolve({ kind: "pledged" });
  }

  consent(): ReturnType<PeerService["consent"]> {
    return Promise.resolve({ kind: "consented" });
  }

  forward(): ReturnType<PeerService["forward"]> {
    const answer = { status: 200, headers: [], body: this.#body };
    return Promise.resolve({ kind: "answered", answer, target: "target-1" });
  }

  transfer(): Promise<void> {
    return Promise.resolve();
  }

  reportLoad(): Promise<void> {
    return Promise.resolve();
  }

  reportDemand(): Promise<DemandReply> {
    return Promise.resolve({ others: [] });
  }
}

export async function measurePeerSlopes(): Promise<PeerSlopes> {
  const server = await startServer("peer-0");
  const relay = await CountingRelay.open(server.port);
  const client = createClient();
  const direct: PeerAddress = { id: "peer-0", address: server.address };
  const counted: PeerAddress = { id: "peer-0", address: relay.address };
  const bytes = await measureMessageBytes(client, counted, relay);
  const times = await measureMessageTimes(client, direct);
  client.close();
  await relay.close();
  await server.server.stop();
  return { ...bytes, ...times, ...await measureConnections() };
}

function createClient(): PeerClient {
  return new PeerClient({
    clock: new SystemClock(),
    maxMessageBytes: MAX_MESSAGE_BYTES,
  });
}

async function startServer(instanceId: string) {
  const server = new PeerServer({
    instanceId,
    host: "127.0.0.1",
    port: 0,
    maxMessageBytes: MAX_MESSAGE_BYTES,
    service: new AnsweringService(),
  });
  const address = await server.start();
  return { server, address, port: Number(address.split(":")[1]) };
}

async function measureMessageBytes(
  client: PeerClient,
  peer: PeerAddress,
  relay: CountingRelay,
): Promise<Pick<PeerSlopes, "renewBytes" | "forwardBytes">> {
  const calls = 200;
  const count = async (call: () => Promise<unknown>): Promise<number> => {
    await call();
    const before = relay.bytes;
    for (let index = 0; index < calls; index++) {
      await call();
    }
    return (relay.bytes - before) / calls;
  };
  return {
    renewBytes: await count(() => client.renew(peer, RENEW)),
    forwardBytes: await count(() => forwardOnce(client, peer)),
  };
}

async function measureMessageTimes(
  client: PeerClient,
  peer: PeerAddress,
): Promise<Pick<PeerSlopes, "renewMicroseconds" | "forwardMicroseconds">> {
  const renewMicroseconds = await measureProcessorTimeEach(
    RENEWALS,
    () => client.renew(peer, RENEW),
  );
  const perRound = await measureProcessorTimeEach(
    FORWARDS / FORWARDS_AT_ONCE,
    () =>
      Promise.all(
        Array.from(
          { length: FORWARDS_AT_ONCE },
          () => forwardOnce(client, peer),
        ),
      ),
  );
  return {
    renewMicroseconds,
    forwardMicroseconds: perRound / FORWARDS_AT_ONCE,
  };
}

async function forwardOnce(
  client: PeerClient,
  peer: PeerAddress,
): Promise<void> {
  const result = await client.forward(
    peer,
    FORWARD,
    new AbortController().signal,
  );
  if (!result.ok) {
    throw new Error(`A measured call failed: ${JSON.stringify(result.val)}`);
  }
}

/** Many clients on one server: each is one more peer, with both its ends. */
async function measureConnections(): Promise<
  Pick<
    PeerSlopes,
    | "memoryBytesPerPeer"
    | "idleBytesPerPeerAndSecond"
    | "idleMicrosecondsPerPeerAndSecond"
  >
> {
  const { server, port } = await startServer("peer-0");
  const relay = await CountingRelay.open(port);
  const before = measureLiveBytes();
  const peer: PeerAddress = { id: "peer-0", address: relay.address };
  const clients: PeerClient[] = [];
  for (let index = 0; index < CONNECTED_PEERS; index++) {
    const client = createClient();
    clients.push(client);
    await client.renew(peer, RENEW);
    await forwardOnce(client, peer);
  }
  const memory = (measureLiveBytes() - before) / CONNECTED_PEERS;
  const bytesBefore = relay.bytes;
  const timeBefore = readProcessorTime();
  await new Promise((resolve) => setTimeout(resolve, IDLE_MS));
  const seconds = IDLE_MS / 1_000 * CONNECTED_PEERS;
  const idleBytes = (relay.bytes - bytesBefore) / seconds;
  const idleTime = (readProcessorTime() - timeBefore) / seconds;
  clients.forEach((client) => client.close());
  await relay.close();
  await server.stop();
  return {
    memoryBytesPerPeer: memory,
    idleBytesPerPeerAndSecond: idleBytes,
    idleMicrosecondsPerPeerAndSecond: idleTime,
  };
}
