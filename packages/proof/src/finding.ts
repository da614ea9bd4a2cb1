/**
 * What the oracle says of each fact: proven, violated with the evidence that
 * shows it, or not to be shown and why. A violation outweighs a gap, and a gap
 * outweighs what has been proven beside it.
 */
import type { Evidence } from "./evidence.ts";

/** The facts that the system answers for, in the order of the users' list. */
export const FACTS = [
  "sole-owner",
  "assignment-survives",
  "whole-answer",
  "not-run-is-true",
  "at-most-once",
  "leaving-target-spared",
  "planned-stop-cuts-nothing",
  "configuration-in-force",
] as const;

export type Fact = (typeof FACTS)[number];

/** One statement about one subject. */
export type Finding =
  | {
    readonly kind: "violated";
    readonly fact: Fact;
    /** The request, unit, target or version in question. */
    readonly subject: string;
    readonly message: string;
    readonly evidence: readonly Evidence[];
  }
  | {
    readonly kind: "cannot-be-shown";
    readonly fact: Fact;
    readonly subject: string;
    /** Which lines or records are missing. */
    readonly message: string;
  };

/** `nothing-to-check` where no subject of the kind occurred and no line lacks. */
export type FactVerdict =
  | "proven"
  | "violated"
  | "cannot-be-shown"
  | "nothing-to-check";

export interface FactReport {
  readonly fact: Fact;
  readonly verdict: FactVerdict;
  /** Subjects that were looked at. */
  readonly checked: number;
  /** All of them are counted; the first `MAX_KEPT_FINDINGS` are kept. */
  readonly violations: number;
  readonly unshown: number;
  readonly findings: readonly Finding[];
}

/** Keeps a report readable and its memory bounded on a bad day. */
const MAX_KEPT_FINDINGS = 100;

/** Gathers the findings of one fact. */
export class FactTally {
  readonly #fact: Fact;
  readonly #violated: Finding[] = [];
  readonly #unshown: Finding[] = [];
  #checked = 0;
  #violations = 0;
  #gaps = 0;

  constructor(fact: Fact) {
    this.#fact = fact;
  }

  get fact(): Fact {
    return this.#fact;
  }

  recordChecked(count = 1): void {
    this.#checked += count;
  }

  recordViolation(
    subject: string,
    message: string,
    evidence: readonly Evidence[] = [],
  ): void {
    this.#violations++;
    if (this.#violated.length < MAX_KEPT_FINDINGS) {
      this.#violated.push({
        kind: "violated",
        fact: this.#fact,
        subject,
        message,
        evidence,
      });
    }
  }

  recordGap(subject: string, message: string): void {
    this.#gaps++;
    if (this.#unshown.length < MAX_KEPT_FINDINGS) {
      this.#unshown.push({
        kind: "cannot-be-shown",
        fact: this.#fact,
        subject,
        message,
      });
    }
  }

  report(): FactReport {
    return {
      fact: this.#fact,
      verdict: this.#decideVerdict(),
      checked: this.#checked,
      violations: this.#violations,
      unshown: this.#gaps,
      findings: [...this.#violated, ...this.#unshown],
    };
  }

  #decideVerdict(): FactVerdict {
    if (this.#violations > 0) {
      return "violated";
    }
    if (this.#gaps > 0) {
      return "cannot-be-shown";
    }
    return this.#checked === 0 ? "nothing-to-check" : "proven";
  }
}
