/** Makes the calls of a pattern's streams, at random but the same each time. */
import type { CallSubject } from "./call.ts";
import { PLACES_PER_TARGET } from "./deployments.ts";
import type { EventQueue } from "./event_queue.ts";
import type { GroupOptions } from "./group_simulation.ts";
import { END_MS, LONG_FACTOR, type Stream } from "./patterns.ts";
import type { SeededRandom } from "./seeded_random.ts";

const KEYS = 4_096;

export interface TrafficOptions {
  readonly group: GroupOptions;
  readonly events: EventQueue;
  readonly random: SeededRandom;
  /** Whether what is wrong with a target is wrong for the key's callers. */
  readonly isDisturbed: (key: number) => boolean;
  readonly send: (subject: CallSubject) => void;
}

export class Traffic {
  readonly #options: TrafficOptions;
  readonly #loudAccount: number | null;

  constructor(options: TrafficOptions) {
    this.#options = options;
    const loud = options.group.pattern.streams.find(({ account }) =>
      account !== null
    );
    this.#loudAccount = loud?.account ?? null;
  }

  start(): void {
    const { group, events } = this.#options;
    for (const stream of group.streams) {
      events.schedule(stream.fromMs, () => this.#scheduleArrival(stream));
    }
  }

  #scheduleArrival(stream: Stream): void {
    const { events, random } = this.#options;
    const { group } = this.#options.group;
    const serviceMs = group.serviceMs *
      (stream.costClass === "long" ? LONG_FACTOR : 1);
    const capacity = group.targets * PLACES_PER_TARGET;
    const places = stream.share * capacity + stream.places;
    const atMs = events.nowMs + random.drawExponential(serviceMs / places);
    if (atMs < Math.min(stream.untilMs, END_MS)) {
      events.schedule(atMs, () => {
        this.#options.send(this.#makeSubject(stream, serviceMs));
        this.#scheduleArrival(stream);
      });
    }
  }

  #makeSubject(stream: Stream, meanMs: number): CallSubject {
    const { random, isDisturbed } = this.#options;
    const { group, deployment } = this.#options.group;
    const account = stream.account ??
      chooseAccount(deployment.accounts, random);
    const key = stream.key ?? random.drawIndex(KEYS);
    return {
      stream,
      account,
      key,
      idempotent: random.draw() < group.lookupShare,
      serviceMs: random.drawService(meanMs),
      bystander: stream.bystander && account !== this.#loudAccount &&
        !isDisturbed(key),
    };
  }
}

/** Accounts ask for 1 to 4 parts each, so an equal share is not what all want. */
function chooseAccount(accounts: number, random: SeededRandom): number {
  for (;;) {
    const account = random.drawIndex(accounts);
    if (random.draw() < (1 + account % 4) / 4) {
      return account;
    }
  }
}
