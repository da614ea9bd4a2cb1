/** What a part needs that decides or tells something together with other instances. */
import type { Clock } from "@lentilspur/ports/clock";
import type { Duties } from "../members/duties.ts";
import type { Member } from "../members/members.ts";
import type { PeerMessage } from "./peer_message.ts";

export interface PeerOptions {
  readonly clock: Clock;
  /** Its own name, and where it stands. */
  readonly instance: string;
  readonly dataCentre: string;
  readonly duties: Duties;
  readonly send: (to: readonly Member[], message: PeerMessage) => void;
}
