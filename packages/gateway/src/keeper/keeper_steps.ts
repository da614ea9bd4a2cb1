/** What can happen to the world of keepers, step by step: for fuzz and replay. */
import type { HolderFaultMode } from "@lentilspur/ports/fake_key_holders";
import type { StoreFaultMode } from "@lentilspur/ports/fake_store";
import type { KeeperWorld } from "./keeper_world.ts";

export const KEEPER_INSTANCES = ["one", "two", "three"] as const;
export const KEEPER_TARGETS = ["a", "b", "c", "d"] as const;

export type KeeperStep =
  | { readonly kind: "wait"; readonly ms: number }
  | { readonly kind: "kill" | "start" | "leave"; readonly instance: string }
  | {
    readonly kind: "store";
    readonly instance: string;
    readonly mood: StoreFaultMode;
  }
  | {
    /** Whether its datagrams reach the others, and theirs it. */
    readonly kind: "peers";
    readonly instance: string;
    readonly reaches: boolean;
  }
  | {
    readonly kind: "target";
    readonly target: string;
    readonly mood: HolderFaultMode;
  }
  | {
    readonly kind: "reach";
    readonly instance: string;
    readonly target: string;
    readonly reaches: boolean;
  }
  | {
    /** It starts again under its id. */
    readonly kind: "kill-target" | "restart-target";
    readonly target: string;
  }
  | { readonly kind: "candidates"; readonly targets: readonly string[] };

export async function runStep(
  world: KeeperWorld,
  one: KeeperStep,
): Promise<void> {
  switch (one.kind) {
    case "wait":
      await world.clock.advance(one.ms);
      return;
    case "kill":
      world.kill(one.instance);
      return;
    case "start":
      world.start(one.instance);
      return;
    case "leave":
      void world.leave(one.instance);
      return;
    case "store":
      world.store.setFaultMode(one.instance, one.mood);
      return;
    case "peers":
      world.setPeers(one.instance, one.reaches);
      return;
    case "target":
      world.holders.setFaultMode(one.target, one.mood);
      return;
    case "reach":
      world.setReach(one.instance, one.target, one.reaches);
      return;
    case "kill-target":
      world.killTarget(one.target);
      return;
    case "restart-target":
      world.restartTarget(one.target);
      return;
    case "candidates":
      world.setCandidates(one.targets);
      return;
  }
}
