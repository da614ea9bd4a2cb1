/**
 * Options shared by the components that decide or exchange something together
 * with other instances.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { Duties } from "../members/duties.ts";
import type { Member } from "../members/members.ts";
import type { PeerMessage } from "./peer_message.ts";

export interface PeerOptions {
  readonly clock: Clock;
  /** Name and data centre of this instance. */
  readonly instance: string;
  readonly dataCentre: string;
  readonly duties: Duties;
  readonly send: (to: readonly Member[], message: PeerMessage) => void;
}
