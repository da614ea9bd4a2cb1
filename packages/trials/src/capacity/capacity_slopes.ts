/** All slopes together, and the file that keeps them. */
import { type ControlSlopes, measureControlSlopes } from "./control_slopes.ts";
import { measurePeerSlopes, type PeerSlopes } from "./peer_slopes.ts";
import { measureRecordSlopes, type RecordSlopes } from "./record_slopes.ts";
import { measureStateSlopes, type StateSlopes } from "./state_slopes.ts";

export interface CapacitySlopes {
  readonly state: StateSlopes;
  readonly records: RecordSlopes;
  readonly control: ControlSlopes;
  readonly peers: PeerSlopes;
}

/** Takes about 40 s; nothing else should run meanwhile. */
export async function measureCapacitySlopes(): Promise<CapacitySlopes> {
  return {
    state: measureStateSlopes(),
    records: measureRecordSlopes(),
    control: measureControlSlopes(),
    peers: await measurePeerSlopes(),
  };
}
