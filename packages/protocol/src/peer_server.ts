/**
 * Serves the inner protocol: each call is handed to the instance's
 * `PeerService`, and a call cancelled by its peer aborts the signal that the
 * service was given.
 */
import * as grpc from "@grpc/grpc-js";
import type { PeerService } from "@lentilspur/ports/peer";
import {
  type ConsentCall,
  type ConsentResult,
  type ForwardCall,
  type ForwardResult,
  PeerControlService,
  PeerTrafficService,
  type RenewCall,
  type RenewResult,
  type ReportDemandCall,
  type ReportDemandResult,
  type ReportLoadCall,
  type ReportLoadResult,
  type TransferCall,
  type TransferResult,
} from "./generated/peer.ts";
import {
  toConsentResult,
  toDemandResult,
  toForwardRequest,
  toForwardResult,
  toRenewResult,
} from "./messages.ts";

/** A peer whose machine vanished is dropped after about this long. */
const KEEPALIVE_EVERY_MS = 5_000;
const KEEPALIVE_TIMEOUT_MS = 2_000;
/** How long a stop waits for calls in progress before it cuts them. */
const STOP_GRACE_MS = 10_000;

export interface PeerServerOptions {
  readonly instanceId: string;
  readonly host: string;
  /** 0 picks a free one. */
  readonly port: number;
  readonly maxMessageBytes: number;
  readonly service: PeerService;
}

interface AddressedCall {
  readonly peerId: string;
}

export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #server: grpc.Server;

  constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#server = new grpc.Server({
      "grpc.max_receive_message_length": options.maxMessageBytes,
      "grpc.max_send_message_length": options.maxMessageBytes,
      "grpc.keepalive_time_ms": KEEPALIVE_EVERY_MS,
      "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
    });
    this.#addServices(options.service);
  }

  /** Listens and gives the address, with the port that was picked. */
  start(): Promise<string> {
    const { host, port } = this.#options;
    const credentials = grpc.ServerCredentials.createInsecure();
    return new Promise((resolve, reject) => {
      this.#server.bindAsync(`${host}:${port}`, credentials, (error, bound) => {
        if (error === null) {
          resolve(`${host}:${bound}`);
        } else {
          reject(error);
        }
      });
    });
  }

  /** Takes no new calls, lets those in progress finish, then closes. */
  stop(): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => this.#server.forceShutdown(),
        STOP_GRACE_MS,
      );
      this.#server.tryShutdown(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  #addServices(service: PeerService): void {
    this.#server.addService(PeerControlService, {
      renew: this.#createHandler<RenewCall, RenewResult>(
        async (call) => toRenewResult(await service.renew(call)),
      ),
      consent: this.#createHandler<ConsentCall, ConsentResult>(
        async (call) => toConsentResult(await service.consent(call)),
      ),
      reportLoad: this.#createHandler<ReportLoadCall, ReportLoadResult>(
        async (call) => {
          await service.reportLoad(call);
          return {};
        },
      ),
      reportDemand: this.#createHandler<ReportDemandCall, ReportDemandResult>(
        async (call) => toDemandResult(await service.reportDemand(call)),
      ),
    });
    this.#server.addService(PeerTrafficService, {
      forward: this.#createHandler<ForwardCall, ForwardResult>(
        async (call, signal) =>
          toForwardResult(
            await service.forward(toForwardRequest(call), signal),
          ),
      ),
      transfer: this.#createHandler<TransferCall, TransferResult>(
        async (call) => {
          await service.transfer(call);
          return {};
        },
      ),
    });
  }

  /**
   * Guards against a process that took over another's address: a call meant
   * for the earlier one shows up here. It is refused before the service sees
   * it, because this process knows nothing of the earlier one's pledges.
   */
  #createHandler<Call extends AddressedCall, Reply>(
    handle: (call: Call, signal: AbortSignal) => Promise<Reply>,
  ): grpc.handleUnaryCall<Call, Reply> {
    const instanceId = this.#options.instanceId;
    return (call, callback) => {
      if (call.request.peerId !== instanceId) {
        callback(makeWrongProcessError(call.request.peerId, instanceId));
        return;
      }
      const controller = new AbortController();
      let isSettled = false;
      // The library says "cancelled" at the end of answered calls as well.
      call.on("cancelled", () => isSettled || controller.abort());
      handle(call.request, controller.signal).then(
        (reply) => callback(null, reply),
        (error: unknown) => callback(makeInternalError(error)),
      ).finally(() => isSettled = true);
    };
  }
}

function makeWrongProcessError(
  wanted: string,
  instanceId: string,
): Partial<grpc.StatusObject> {
  return {
    code: grpc.status.FAILED_PRECONDITION,
    details: `this is instance '${instanceId}', not '${wanted}'`,
  };
}

function makeInternalError(error: unknown): Partial<grpc.StatusObject> {
  return { code: grpc.status.INTERNAL, details: String(error) };
}
