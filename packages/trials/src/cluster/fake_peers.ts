/**
 * The inner protocol in memory: latency, cuts between instances, answers that
 * get lost, and processes that are paused or gone.
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
  PeerService,
  RenewReply,
  RenewRequest,
  TransferRequest,
} from "@lentilspur/ports/peer";
import type { ProcessGate } from "./process_gate.ts";

interface Station {
  readonly service: PeerService;
  readonly gate: ProcessGate;
}

/** As the real client: control calls are given up after this time. */
const CONTROL_TIMEOUT_MS = 500;
const TRANSFER_TIMEOUT_MS = 2_000;

export class FakePeerNetwork {
  readonly #clock: Clock;
  readonly #latencyMs: number;
  readonly #stations = new Map<string, Station>();
  readonly #cuts = new Set<string>();
  readonly #lostAnswers = new Map<string, number>();

  constructor(clock: Clock, options: { readonly latencyMs?: number } = {}) {
    this.#clock = clock;
    this.#latencyMs = options.latencyMs ?? 1;
  }

  add(id: string, station: Station): void {
    this.#stations.set(id, station);
  }

  remove(id: string): void {
    this.#stations.delete(id);
  }

  /** Cuts or mends both directions between two instances. */
  setCut(left: string, right: string, isCut: boolean): void {
    for (const pair of [`${left}>${right}`, `${right}>${left}`]) {
      if (isCut) {
        this.#cuts.add(pair);
      } else {
        this.#cuts.delete(pair);
      }
    }
  }

  /** The next answers of this instance to anyone are lost. */
  setLostAnswers(id: string, count: number): void {
    this.#lostAnswers.set(id, count);
  }

  createLink(from: string): PeerPort {
    return new FakePeerLink(this, from);
  }

  /** One call from one instance to another. */
  async send<T>(
    from: string,
    to: PeerAddress,
    options: {
      readonly timeoutMs: number;
      readonly signal?: AbortSignal;
      readonly run: (service: PeerService) => Promise<T>;
    },
  ): Promise<Result<T, PeerFailure>> {
    const station = this.#stations.get(to.id);
    if (station === undefined) {
      return Err({ kind: "not-sent", message: `No process at "${to.id}"` });
    }
    const ended = new AbortController();
    const signal = options.signal === undefined
      ? ended.signal
      : AbortSignal.any([ended.signal, options.signal]);
    const answer = this.#transfer(from, to.id, station, options.run);
    const timeout = this.#clock.sleep(options.timeoutMs, signal);
    const result = await Promise.race([
      answer.then((value) => ({ value })),
      timeout.then(() => undefined),
    ]);
    ended.abort();
    return result === undefined
      ? Err({ kind: "lost", message: `No answer from "${to.id}"` })
      : Ok(result.value);
  }

  async #transfer<T>(
    from: string,
    to: string,
    station: Station,
    run: (service: PeerService) => Promise<T>,
  ): Promise<T> {
    await this.#waitForWay(from, to);
    await station.gate.wait();
    const value = await run(station.service);
    await station.gate.wait();
    const lost = this.#lostAnswers.get(to) ?? 0;
    if (lost > 0) {
      this.#lostAnswers.set(to, lost - 1);
      return await new Promise<T>(() => {});
    }
    await this.#waitForWay(to, from);
    return value;
  }

  /** What meets a cut is lost: the caller learns by its timeout. */
  async #waitForWay(from: string, to: string): Promise<void> {
    await this.#clock.sleep(this.#latencyMs);
    if (this.#cuts.has(`${from}>${to}`)) {
      await new Promise<void>(() => {});
    }
  }
}

class FakePeerLink implements PeerPort {
  readonly #network: FakePeerNetwork;
  readonly #from: string;

  constructor(network: FakePeerNetwork, from: string) {
    this.#network = network;
    this.#from = from;
  }

  renew(
    peer: PeerAddress,
    request: RenewRequest,
  ): Promise<Result<RenewReply, PeerFailure>> {
    return this.#network.send(this.#from, peer, {
      timeoutMs: CONTROL_TIMEOUT_MS,
      run: (service) => service.renew(request),
    });
  }

  consent(
    peer: PeerAddress,
    request: ConsentRequest,
  ): Promise<Result<ConsentReply, PeerFailure>> {
    return this.#network.send(this.#from, peer, {
      timeoutMs: CONTROL_TIMEOUT_MS,
      run: (service) => service.consent(request),
    });
  }

  forward(
    peer: PeerAddress,
    request: ForwardRequest,
    signal: AbortSignal,
  ): Promise<Result<ForwardReply, PeerFailure>> {
    return this.#network.send(this.#from, peer, {
      timeoutMs: request.remainingMs,
      signal,
      run: (service) => service.forward(request, signal),
    });
  }

  reportLoad(
    peer: PeerAddress,
    report: LoadReport,
  ): Promise<Result<void, PeerFailure>> {
    return this.#network.send(this.#from, peer, {
      timeoutMs: CONTROL_TIMEOUT_MS,
      run: (service) => service.reportLoad(report),
    });
  }

  reportDemand(
    peer: PeerAddress,
    report: DemandReport,
  ): Promise<Result<DemandReply, PeerFailure>> {
    return this.#network.send(this.#from, peer, {
      timeoutMs: CONTROL_TIMEOUT_MS,
      run: (service) => service.reportDemand(report),
    });
  }

  transfer(
    peer: PeerAddress,
    request: TransferRequest,
  ): Promise<Result<void, PeerFailure>> {
    return this.#network.send(this.#from, peer, {
      timeoutMs: TRANSFER_TIMEOUT_MS,
      run: (service) => service.transfer(request),
    });
  }
}
