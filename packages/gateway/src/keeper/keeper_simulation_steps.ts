/**
 * Defines the steps of a keeper simulation, for fuzz tests and for the replay
 * of traces.
 */
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
    /** Sets whether datagrams pass between this instance and all others. */
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
    /** A restarted target keeps its id. */
    readonly kind: "kill-target" | "restart-target";
    readonly target: string;
  }
  | {
    /** The store is away for a moment and comes back from an older copy. */
    readonly kind: "restore-store";
    readonly copyAgeMs: number;
    readonly awayMs: number;
  }
  | {
    /** Another process starts at the address of the target, which ends. */
    readonly kind: "replace-target";
    readonly target: string;
  }
  | {
    /** An instance reads the former process's entry, or sends it a request. */
    readonly kind: "late-entry" | "request-to-former";
    readonly instance: string;
    readonly target: string;
  }
  | {
    /** The store assigns the partitions to other instances. */
    readonly kind: "reassign";
  }
  | { readonly kind: "candidates"; readonly targets: readonly string[] };

export async function runStep(
  simulation: KeeperSimulation,
  step: SimulationStep,
): Promise<void> {
  switch (step.kind) {
    case "wait":
      await simulation.clock.advance(step.ms);
      return;
    case "kill":
      simulation.kill(step.instance);
      return;
    case "start":
      simulation.start(step.instance);
      return;
    case "leave":
      void simulation.leave(step.instance);
      return;
    case "store":
      simulation.store.setFaultMode(step.instance, step.mood);
      return;
    case "peers":
      simulation.setPeerConnectivity(step.instance, step.reaches);
      return;
    case "target":
      simulation.holders.setFaultMode(step.target, step.mood);
      return;
    case "reach":
      simulation.setTargetConnectivity(
        step.instance,
        step.target,
        step.reaches,
      );
      return;
    case "kill-target":
      simulation.killTarget(step.target);
      return;
    case "restart-target":
      simulation.restartTarget(step.target);
      return;
    case "restore-store":
      simulation.restoreStore(step);
      return;
    case "replace-target":
      simulation.startReplacement(step.target);
      return;
    case "late-entry":
      simulation.readLateEntry(step.instance, step.target);
      return;
    case "request-to-former":
      simulation.sendToFormerProcess(step.instance, step.target);
      return;
    case "reassign":
      simulation.store.moveParts();
      return;
    case "candidates":
      simulation.setCandidates(step.targets);
      return;
  }
}
