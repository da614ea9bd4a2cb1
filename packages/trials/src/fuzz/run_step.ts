/** Lets a step happen in a trial. */
import type { ClusterTrial } from "./cluster_trial.ts";
import type { LogFault, Step } from "./step.ts";

/** Instances that may be started in one trial beside the first four. */
const MAX_INSTANCES = 8;

/** Whether the step makes sense now; shrinking drops the others. */
export function mayRunStep(trial: ClusterTrial, step: Step): boolean {
  const living = trial.listInstances().length;
  if (step.kind === "crash" || step.kind === "stop") {
    return living > 1;
  }
  return step.kind === "start" ? living < MAX_INSTANCES : living > 0;
}

/** Steps that leave list, log, instances and targets well. */
const HARMLESS_STEPS: ReadonlySet<Step["kind"]> = new Set([
  "advance",
  "send",
  "resend",
  "leaving",
  "start",
  "publish-twice",
]);

/** Lets the step happen; time passes in `advance` alone. */
export async function runStep(trial: ClusterTrial, step: Step): Promise<void> {
  const { cluster } = trial;
  if (!HARMLESS_STEPS.has(step.kind)) {
    trial.expireLeaving();
  }
  switch (step.kind) {
    case "advance":
      return await cluster.clock.advance(step.ms);
    case "send":
      return trial.send(step.via, step);
    case "resend":
      return trial.sendAgain(step.via, step.back);
    case "pause":
      return trial.getInstance(step.instance)?.gate.stop();
    case "pause-at-call":
      return trial.getInstance(step.instance)?.gate.setStopAtNextCall();
    case "resume":
      return trial.getInstance(step.instance)?.gate.start();
    case "crash":
      return trial.injectCrash(step.instance);
    case "stop":
      return trial.stop(step.instance);
    case "start":
      return void cluster.addInstance();
    case "isolate":
      return cluster.setIsolated(
        trial.getInstance(step.instance)!.id,
        step.isIsolated,
      );
    case "cut":
      return cluster.peers.setCut(
        trial.getInstance(step.left)!.id,
        trial.getInstance(step.right)!.id,
        step.isCut,
      );
    case "lose-peer-answers":
      return cluster.peers.setLostAnswers(
        trial.getInstance(step.instance)!.id,
        3,
      );
    case "log-down":
      return cluster.log.setDown(step.isDown);
    case "log-link":
      return setLogFault(trial, step.instance, step.fault);
    case "target-way":
      return trial.getInstance(step.instance)!.targetLink.setFaults(
        trial.getTarget(step.target).id,
        { way: step.way },
      );
    case "target-answers-lost":
      return trial.getInstance(step.instance)!.targetLink.setFaults(
        trial.getTarget(step.target).id,
        { lostAnswers: 1 },
      );
    case "freeze":
    case "thaw":
      return trial.setFrozen(step.target, step.kind === "freeze");
    case "target-stop":
      return trial.getTarget(step.target).stop();
    case "target-start":
      return trial.getTarget(step.target).start();
    case "leaving":
      return trial.setLeaving(step.target);
    case "lie":
      return trial.getTarget(step.target).setReport({
        runningRequests: step.load,
      });
    case "shed":
      return trial.getTarget(step.target).setShedding(step.sheds);
    case "list-lag":
      return cluster.list.setLag(step.ms);
    case "list-down":
      return cluster.list.setDown(step.isDown);
    case "publish-twice":
      return trial.publishTwice();
  }
}

function setLogFault(
  trial: ClusterTrial,
  instance: number,
  fault: LogFault,
): void {
  const link = trial.getInstance(instance)!.logLink;
  switch (fault) {
    case "cut":
      return link.setFaults({ isCut: true });
    case "mended":
      return link.setFaults({ isCut: false, latencyMs: 1 });
    case "slow":
      return link.setFaults({ latencyMs: 400 });
    case "lost-answer":
      return link.setFaults({ lostAnswers: 1 });
    case "lost-append":
      return link.setFaults({ lostAppends: 1 });
    case "late-append":
      return link.setFaults({ lateAppends: 1, lateByMs: 5_000 });
  }
}
