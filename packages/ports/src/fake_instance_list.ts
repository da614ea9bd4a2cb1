/** The platform's instance list in memory. It shows changes late. */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Clock } from "./clock.ts";
import type {
  InstanceListFailure,
  InstanceListPort,
  ListedInstance,
  ListedState,
} from "./instance_list.ts";

/** One change; `instance` is null where it left the list. */
interface ListChange {
  readonly id: string;
  readonly instance: ListedInstance | null;
  readonly madeAt: number;
}

export class FakeInstanceList implements InstanceListPort {
  readonly #clock: Clock;
  #lagMs: number;
  #isDown = false;
  readonly #changes: ListChange[] = [];

  constructor(clock: Clock, options: { readonly lagMs?: number } = {}) {
    this.#clock = clock;
    this.#lagMs = options.lagMs ?? 0;
  }

  /** How late the list shows a change, those on their way included. */
  setLag(lagMs: number): void {
    this.#lagMs = lagMs;
  }

  setDown(isDown: boolean): void {
    this.#isDown = isDown;
  }

  set(instance: ListedInstance): void {
    this.#addChange(instance.id, instance);
  }

  remove(id: string): void {
    this.#addChange(id, null);
  }

  /** Changes the state that is true now, whatever the list shows. */
  setState(id: string, state: ListedState): void {
    const known = this.#computeList(Infinity).get(id);
    if (known !== undefined) {
      this.set({ ...known, state });
    }
  }

  list(): Promise<Result<readonly ListedInstance[], InstanceListFailure>> {
    if (this.#isDown) {
      const message = "The instance list did not answer";
      return Promise.resolve(Err({ kind: "unavailable", message }));
    }
    const shownUntil = this.#clock.readMs() - this.#lagMs;
    return Promise.resolve(Ok([...this.#computeList(shownUntil).values()]));
  }

  #addChange(id: string, instance: ListedInstance | null): void {
    const madeAt = this.#clock.readMs();
    this.#changes.push({ id, instance, madeAt });
  }

  #computeList(shownUntil: number): ReadonlyMap<string, ListedInstance> {
    const shown = new Map<string, ListedInstance>();
    for (const change of this.#changes) {
      if (change.madeAt > shownUntil) {
        break;
      }
      if (change.instance === null) {
        shown.delete(change.id);
      } else {
        shown.set(change.id, change.instance);
      }
    }
    return shown;
  }
}
