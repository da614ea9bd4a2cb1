/**
 * Calls peers over gRPC. Each peer in use has two connections: one for leases
 * and take-overs, one for callers' requests. A renewal that had to queue
 * behind a large body would cost a lease.
 */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import type {
  ConsentReply,
  ConsentRequest,
  DemandReply,
  DemandReport,
  ForwardReply,
  ForwardRequest,
  LoadReport,
  PeerAddress,
  PeerFailure,
  PeerPort,
  RenewReply,
  RenewRequest,
  TransferRequest,
} from "@lentilspur/ports/peer";
import {
  type ConsentResult,
  type ForwardResult,
  PeerControlClient,
  PeerTrafficClient,
  type RenewResult,
  type ReportDemandResult,
  type ReportLoadResult,
  type TransferResult,
} from "./generated/peer.ts";
import { toConsentReply, toForwardReply, toRenewReply } from "./messages.ts";
import { PeerChannel } from "./peer_channel.ts";

/** A renewal that takes longer has missed its turn; the next one is due. */
const CONTROL_TIMEOUT_MS = 500;
const TRANSFER_TIMEOUT_MS = 2_000;
/** The steward answers at the request's deadline; this covers the way back. */
const FORWARD_GRACE_MS = 200;
/** Peers are new with every start, so connections to gone ones are dropped. */
const IDLE_PEER_MS = 60_000;

export interface PeerClientOptions {
  readonly clock: Clock;
  /** Largest request or answer body, with room for its headers. */
  readonly maxMessageBytes: number;
}

interface OpenPeer {
  readonly control: PeerChannel<PeerControlClient>;
  readonly traffic: PeerChannel<PeerTrafficClient>;
  usedAt: number;
}

export class PeerClient implements PeerPort {
  readonly #options: PeerClientOptions;
  readonly #peers = new Map<string, OpenPeer>();

  constructor(options: PeerClientOptions) {
    this.#options = options;
  }

  async renew(
    peer: PeerAddress,
    request: RenewRequest,
  ): Promise<Result<RenewReply, PeerFailure>> {
    const result = await this.#openPeer(peer).control.run<RenewResult>(
      (client, meta, options, callback) =>
        client.renew({ peerId: peer.id, ...request }, meta, options, callback),
      CONTROL_TIMEOUT_MS,
    );
    return result.ok ? checkReadable(toRenewReply(result.val)) : result;
  }

  async consent(
    peer: PeerAddress,
    request: ConsentRequest,
  ): Promise<Result<ConsentReply, PeerFailure>> {
    const result = await this.#openPeer(peer).control.run<ConsentResult>(
      (client, meta, options, callback) =>
        client.consent(
          { peerId: peer.id, ...request },
          meta,
          options,
          callback,
        ),
      CONTROL_TIMEOUT_MS,
    );
    return result.ok ? checkReadable(toConsentReply(result.val)) : result;
  }

  async forward(
    peer: PeerAddress,
    request: ForwardRequest,
    signal: AbortSignal,
  ): Promise<Result<ForwardReply, PeerFailure>> {
    const call = {
      ...request,
      peerId: peer.id,
      headers: [...request.headers],
      body: request.body as Buffer,
    };
    const result = await this.#openPeer(peer).traffic.run<ForwardResult>(
      (client, meta, options, callback) =>
        client.forward(call, meta, options, callback),
      request.remainingMs + FORWARD_GRACE_MS,
      signal,
    );
    return result.ok ? checkReadable(toForwardReply(result.val)) : result;
  }

  async transfer(
    peer: PeerAddress,
    request: TransferRequest,
  ): Promise<Result<void, PeerFailure>> {
    const call = {
      ...request,
      peerId: peer.id,
      units: [...request.units],
      remembered: [...request.remembered],
    };
    const result = await this.#openPeer(peer).traffic.run<TransferResult>(
      (client, meta, options, callback) =>
        client.transfer(call, meta, options, callback),
      TRANSFER_TIMEOUT_MS,
    );
    return result.ok ? Ok(undefined) : result;
  }

  async reportLoad(
    peer: PeerAddress,
    report: LoadReport,
  ): Promise<Result<void, PeerFailure>> {
    const call = {
      ...report,
      peerId: peer.id,
      units: [...report.units],
      hotKeys: [...report.hotKeys],
    };
    const result = await this.#openPeer(peer).control.run<ReportLoadResult>(
      (client, meta, options, callback) =>
        client.reportLoad(call, meta, options, callback),
      CONTROL_TIMEOUT_MS,
    );
    return result.ok ? Ok(undefined) : result;
  }

  async reportDemand(
    peer: PeerAddress,
    report: DemandReport,
  ): Promise<Result<DemandReply, PeerFailure>> {
    const call = {
      ...report,
      peerId: peer.id,
      demands: [...report.demands],
    };
    return await this.#openPeer(peer).control.run<ReportDemandResult>(
      (client, meta, options, callback) =>
        client.reportDemand(call, meta, options, callback),
      CONTROL_TIMEOUT_MS,
    );
  }

  close(): void {
    for (const peer of this.#peers.values()) {
      closePeer(peer);
    }
    this.#peers.clear();
  }

  #openPeer(address: PeerAddress): OpenPeer {
    const now = this.#options.clock.readMs();
    const name = `${address.id}@${address.address}`;
    const known = this.#peers.get(name);
    if (known !== undefined) {
      known.usedAt = now;
      return known;
    }
    this.#evictIdle(now);
    const opened = this.#createPeer(address.address, now);
    this.#peers.set(name, opened);
    return opened;
  }

  #createPeer(address: string, usedAt: number): OpenPeer {
    const maxMessageBytes = this.#options.maxMessageBytes;
    const control = new PeerChannel({
      address,
      maxMessageBytes,
      createClient: (to, credentials, options) =>
        new PeerControlClient(to, credentials, options),
    });
    const traffic = new PeerChannel({
      address,
      maxMessageBytes,
      createClient: (to, credentials, options) =>
        new PeerTrafficClient(to, credentials, options),
    });
    return { control, traffic, usedAt };
  }

  #evictIdle(now: number): void {
    for (const [name, peer] of this.#peers) {
      if (now - peer.usedAt > IDLE_PEER_MS) {
        this.#peers.delete(name);
        closePeer(peer);
      }
    }
  }
}

function closePeer(peer: OpenPeer): void {
  peer.control.close();
  peer.traffic.close();
}

/** An answer of no known kind proves nothing about what the peer did. */
function checkReadable<T>(reply: T | undefined): Result<T, PeerFailure> {
  return reply === undefined
    ? Err({ kind: "lost", message: "the peer's answer has no known kind" })
    : Ok(reply);
}
