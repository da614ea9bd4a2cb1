/** Fetches and parses an instance's response to `GET /status`. */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import { request } from "undici";
import { z } from "zod";

const statusSchema = z.object({
  instance: z.string(),
  incarnation: z.string(),
  dataCentre: z.string(),
  isReady: z.boolean(),
  configurationVersion: z.number().min(0),
  inForceForMs: z.number(),
  targets: z.int().min(0),
  openRequests: z.int().min(0),
  /** Work that the instance does for other instances. */
  duties: z.array(z.string()),
  /** Data centres that the instance sends no new requests to. */
  evacuated: z.array(z.string()).readonly(),
});

export type InstanceStatus = Readonly<z.output<typeof statusSchema>>;

export interface StatusFailure {
  /**
   * `gone`: the connection was refused, so the process has ended. `silent`: no
   * complete response within the time limit, or the connection failed.
   * `unreadable`: the response is not a status.
   */
  readonly kind: "gone" | "silent" | "unreadable";
  /** The reason in words, for the operator. */
  readonly message: string;
}

export type StatusFetcher = (
  address: string,
) => Promise<Result<InstanceStatus, StatusFailure>>;

/**
 * An instance serves its status from memory; a slower one counts as
 * unresponsive.
 */
const STATUS_TIMEOUT_MS = 1_000;

/**
 * Fetches the status over a new connection and closes it afterwards. The
 * timeout covers the whole exchange, because a connection may also stall after
 * the first byte.
 */
export async function fetchInstanceStatus(
  address: string,
): Promise<Result<InstanceStatus, StatusFailure>> {
  try {
    const response = await request(`http://${address}/status`, {
      signal: AbortSignal.timeout(STATUS_TIMEOUT_MS),
      headers: { connection: "close" },
    });
    const body = await response.body.text();
    return parseInstanceStatus(response.statusCode, body);
  } catch (error) {
    return Err(toFailure(error));
  }
}

function toFailure(error: unknown): StatusFailure {
  const message = error instanceof Error ? error.message : String(error);
  const { code } = error as NodeJS.ErrnoException;
  return { kind: code === "ECONNREFUSED" ? "gone" : "silent", message };
}

function parseInstanceStatus(
  statusCode: number,
  body: string,
): Result<InstanceStatus, StatusFailure> {
  const fail = (message: string) =>
    Err<StatusFailure>({ kind: "unreadable", message });
  if (statusCode !== 200) {
    return fail(`it responded with status ${statusCode}`);
  }
  try {
    const parsed = statusSchema.safeParse(JSON.parse(body));
    return parsed.success ? Ok(parsed.data) : fail("its response lacks fields");
  } catch {
    return fail("its response is not JSON");
  }
}
