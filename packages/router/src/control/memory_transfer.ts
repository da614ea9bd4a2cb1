/**
 * Hands the memory of handled requests to whoever serves the units next. It
 * goes out after the change is in the log and names its token; if it is lost,
 * resends are answered as unknown, never run again.
 */
import type { Position } from "@lentilspur/outcomes/position";
import type { Clock } from "@lentilspur/ports/clock";
import type { PeerPort, RememberedRequest } from "@lentilspur/ports/peer";
import type { UnitId } from "@lentilspur/state/entries";
import type { UnitWork } from "../authority.ts";
import type { ControlTiming } from "../settings.ts";
import type { StateSource } from "../state_source.ts";
import { waitAtMost } from "./time_limit.ts";

export interface MemoryParcel {
  readonly template: string;
  /** The target that owns the units after the change. */
  readonly target: string;
  readonly units: readonly UnitId[];
  /** Undefined where this instance's own memory says nothing of them. */
  readonly floor: Position | undefined;
  readonly remembered: readonly RememberedRequest[];
}

export interface MemoryTransferOptions {
  readonly self: string;
  readonly clock: Clock;
  readonly peers: PeerPort;
  readonly log: StateSource;
  readonly timing: ControlTiming;
  readonly work: UnitWork;
}

const MAX_ATTEMPTS = 3;

export async function transferMemory(
  options: MemoryTransferOptions,
  parcel: MemoryParcel,
  token: Position,
): Promise<void> {
  const { log, self, work } = options;
  const { template, units, floor, remembered } = parcel;
  const steward = log.getView().getTarget(parcel.target)?.steward;
  if (floor === undefined || steward == null) {
    return;
  }
  if (steward === self) {
    work.addMemory(template, units, { token, floor, remembered });
    return;
  }
  await sendMemory(options, parcel, { steward, token, floor });
  work.removeMemory(template, units);
}

async function sendMemory(
  options: MemoryTransferOptions,
  parcel: MemoryParcel,
  change: {
    readonly steward: string;
    readonly token: Position;
    readonly floor: Position;
  },
): Promise<void> {
  const { clock, peers, log, timing } = options;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const member = log.getView().getMember(change.steward);
    if (member === undefined) {
      return;
    }
    const call = peers.transfer(
      { id: change.steward, address: member.instance.peerAddress },
      {
        template: parcel.template,
        target: parcel.target,
        units: parcel.units,
        token: change.token,
        completeSince: change.floor,
        remembered: parcel.remembered,
      },
    );
    const reply = await waitAtMost(clock, timing.renewEveryMs, call);
    if (reply?.ok) {
      return;
    }
  }
}
