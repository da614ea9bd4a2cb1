/** What can happen to the world of keepers, step by step: for fuzz and replay. */
import type { HolderFaultMode } from "@lentilspur/ports/fake_key_holders";
import type { StoreFaultMode } from "@lentilspur/ports/fake_store";
import type { KeeperSimulation } from "./keeper_simulation.ts";

export const KEEPER_INSTANCES = ["one", "two", "three"] as const;
export const KEEPER_TARGETS = ["a", "b", "c", "d"] as const;

export type SimulationStep =
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
  world: KeeperSimulation,
  step: SimulationStep,
): Promise<void> {
  switch (step.kind) {
    case "wait":
      await world.clock.advance(step.ms);
      return;
    case "kill":
      world.kill(step.instance);
      return;
    case "start":
      world.start(step.instance);
      return;
    case "leave":
      void world.leave(step.instance);
      return;
    case "store":
      world.store.setFaultMode(step.instance, step.mood);
      return;
    case "peers":
      world.setPeerConnectivity(step.instance, step.reaches);
      return;
    case "target":
      world.holders.setFaultMode(step.target, step.mood);
      return;
    case "reach":
      world.setTargetConnectivity(step.instance, step.target, step.reaches);
      return;
    case "kill-target":
      world.killTarget(step.target);
      return;
    case "restart-target":
      world.restartTarget(step.target);
      return;
    case "candidates":
      world.setCandidates(step.targets);
      return;
  }
}
