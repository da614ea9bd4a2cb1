/** Lines of the capacity page, and how their figures are shown. */

/** A part of what a node spends for control. */
export interface ControlShare {
  readonly of: "processor" | "memory" | "traffic";
  /** Per cent of a core, bytes, or bytes a second. */
  readonly amount: number;
}

export type Verdict = "met" | "not met" | "no limit named";

/** One line: what a role needs, by which mechanism, against which limit. */
export interface CapacityLine {
  readonly role: string;
  readonly what: string;
  /** The mechanism that carries it today. */
  readonly mechanism: string;
  /** The measured slope, and what it is a slope of. */
  readonly slope: string;
  /** Worked out at the letter's size. */
  readonly figure: string;
  readonly limit: string;
  readonly verdict: Verdict;
  /** Where the limit is the control budget. */
  readonly share?: ControlShare;
  /** The size at which today's mechanism breaks; empty where it carries. */
  readonly breaksAt: string;
}

export function decideVerdict(figure: number, limit: number): Verdict {
  return figure <= limit ? "met" : "not met";
}

const KIBI = 1024;
const MEBI = KIBI * KIBI;
const GIBI = KIBI * MEBI;

export function formatBytes(bytes: number): string {
  if (bytes >= GIBI) {
    return `${(bytes / GIBI).toPrecision(3)} GB`;
  }
  if (bytes >= MEBI) {
    return `${formatNumber(bytes / MEBI)} MB`;
  }
  return bytes >= KIBI
    ? `${formatNumber(bytes / KIBI)} KB`
    : `${formatNumber(bytes)} B`;
}

export function formatNumber(value: number): string {
  if (Math.abs(value) >= 1_000) {
    return Math.round(value).toLocaleString("en-US");
  }
  return String(Number(value.toPrecision(3)));
}

export function formatMicroseconds(value: number): string {
  return `${formatNumber(value)} µs`;
}

export function formatPercent(value: number): string {
  return `${formatNumber(value)} %`;
}
