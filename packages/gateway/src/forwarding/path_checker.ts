/**
 * Asks other instances whether they reach a target that this one does not
 * reach: this tells a lost path from a failed target.
 */
import type { RoutingTarget } from "@lentilspur/ports/routing_table";
import type { ReachAnswer } from "./forwarded_request.ts";
import type { ForwardingClient } from "./forwarding_client.ts";
import type { ForwardingPeers } from "./forwarding_peers.ts";

export interface PathCheckerOptions {
  /** Name and incarnation of this instance. */
  readonly instance: string;
  readonly incarnation: string;
  readonly client: ForwardingClient;
  readonly peers: ForwardingPeers;
}

export type PathCheck =
  /** `peer` reaches the target. */
  | { readonly kind: "reached"; readonly peer: string }
  /** No instance that was asked reaches it. */
  | { readonly kind: "unreached" }
  | { readonly kind: "unknown" };

/** Some may have lost their own paths, most likely those of one data centre. */
const ASKED_REMOTE_PEERS = 2;
const ASKED_PEERS = 3;
/** Instances that must not reach a target for it to count as failed. */
const MIN_UNREACHED = 2;

export class PathChecker {
  readonly #options: PathCheckerOptions;

  constructor(options: PathCheckerOptions) {
    this.#options = options;
  }

  async check({ id: targetId }: RoutingTarget): Promise<PathCheck> {
    const { instance: from, incarnation, client, peers } = this.#options;
    const asked = new Set<string>();
    const answers: Promise<ReachAnswer>[] = [];
    for (let count = 0; count < ASKED_PEERS; count++) {
      const peer = count < ASKED_REMOTE_PEERS
        ? peers.chooseRemote(asked)
        : peers.choose(asked);
      if (peer !== undefined) {
        asked.add(peer.instance);
        answers.push(
          client.fetchReachability(peer, { from, incarnation, targetId }),
        );
      }
    }
    const results = await Promise.all(answers);
    const reached = results.indexOf("reached");
    if (reached >= 0) {
      return { kind: "reached", peer: [...asked][reached]! };
    }
    // A single instance may have lost its own path.
    const unreached = results.filter((answer) => answer === "unreached").length;
    const isEnough = unreached > 0 &&
      unreached >= Math.min(MIN_UNREACHED, results.length);
    return { kind: isEnough ? "unreached" : "unknown" };
  }
}
