/** Defines two small example deployments, modelled on those of two users. */

export interface TargetGroup {
  readonly template: string;
  readonly count: number;
  readonly workMs: number;
  /** Retries per request, where the template publishes a ratio of its own. */
  readonly retryRatio?: number;
}

/** A kind of request that callers make. */
export interface RequestKind {
  readonly template: string;
  readonly method: "GET" | "POST";
  /** Path with the placeholder `{key}`. */
  readonly path: string;
  /** Fraction of all requests. */
  readonly fraction: number;
  /** The template's default deadline. */
  readonly timeoutMs: number;
}

export interface CallerAccount {
  readonly name: string;
  readonly credential: string;
  readonly callers: number;
}

export interface Deployment {
  readonly name: string;
  readonly dataCentres: readonly string[];
  readonly instances: number;
  readonly targets: readonly TargetGroup[];
  readonly requests: readonly RequestKind[];
  readonly accounts: readonly CallerAccount[];
  /** About every fourth request is for this key. */
  readonly hotKey: string;
  readonly keyPrefix: string;
}

export const ABAY: Deployment = {
  name: "abay",
  dataCentres: ["bole", "kirkos", "yeka"],
  instances: 4,
  targets: [
    { template: "case-files", count: 3, workMs: 2 },
    { template: "demands", count: 2, workMs: 3 },
    { template: "ledger", count: 2, workMs: 3 },
  ],
  requests: [
    {
      template: "case-files",
      method: "GET",
      path: "/case-files/{key}",
      fraction: 0.6,
      timeoutMs: 1_000,
    },
    {
      template: "demands",
      method: "POST",
      path: "/case-files/{key}/demands",
      fraction: 0.2,
      timeoutMs: 2_000,
    },
    {
      template: "ledger",
      method: "POST",
      path: "/ledger/{key}/settlements",
      fraction: 0.2,
      timeoutMs: 2_000,
    },
  ],
  accounts: [
    {
      name: "highland-mutual",
      credential: "playground-highland-mutual",
      callers: 8,
    },
    {
      name: "lakeside-general",
      credential: "playground-lakeside-general",
      callers: 4,
    },
  ],
  hotKey: "case-hot",
  keyPrefix: "case",
};

export const SAUTIBA: Deployment = {
  name: "sautiba",
  dataCentres: ["kariakoo", "msasani", "sinza", "upanga"],
  instances: 4,
  targets: [
    { template: "calendars", count: 3, workMs: 2, retryRatio: 0.2 },
    { template: "reservations", count: 2, workMs: 3 },
    { template: "payments", count: 2, workMs: 3 },
  ],
  requests: [
    {
      template: "calendars",
      method: "GET",
      path: "/calendars/{key}",
      fraction: 0.6,
      timeoutMs: 800,
    },
    {
      template: "reservations",
      method: "POST",
      path: "/reservations/{key}/holds",
      fraction: 0.2,
      timeoutMs: 2_000,
    },
    {
      template: "payments",
      method: "POST",
      path: "/payments/{key}/deposits",
      fraction: 0.2,
      timeoutMs: 3_000,
    },
  ],
  accounts: [
    {
      name: "harbour-broadcasting",
      credential: "playground-harbour-broadcasting",
      callers: 8,
    },
    {
      name: "coral-dubbing",
      credential: "playground-coral-dubbing",
      callers: 4,
    },
  ],
  hotKey: "studio-hot",
  keyPrefix: "studio",
};
