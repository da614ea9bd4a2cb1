/** What an instance says of itself at `GET /status`. */
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
  /** What it does for other instances. */
  duties: z.array(z.string()),
  /** Data centres that it sends no new work to. */
  evacuated: z.array(z.string()).readonly(),
});

export type InstanceStatus = Readonly<z.output<typeof statusSchema>>;

export interface StatusFailure {
  /** `gone`: nothing listens there, so the process has ended. */
  readonly kind: "gone" | "silent" | "unreadable";
  /** A sentence for people. */
  readonly message: string;
}

export type StatusFetcher = (
  address: string,
) => Promise<Result<InstanceStatus, StatusFailure>>;

/** An instance answers from memory; past this it is as good as silent. */
const STATUS_TIMEOUT_MS = 1_000;

/**
 * Asks over a connection of its own, which is closed afterwards. The timeout
 * covers the whole exchange, because a connection may go silent after its
 * first byte as well.
 */
export async function fetchInstanceStatus(
  address: string,
): Promise<Result<InstanceStatus, StatusFailure>> {
  try {
    const answer = await request(`http://${address}/status`, {
      signal: AbortSignal.timeout(STATUS_TIMEOUT_MS),
      headers: { connection: "close" },
    });
    const body = await answer.body.text();
    return parseInstanceStatus(answer.statusCode, body);
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
    return fail(`it answered with status ${statusCode}`);
  }
  try {
    const parsed = statusSchema.safeParse(JSON.parse(body));
    return parsed.success ? Ok(parsed.data) : fail("its answer lacks fields");
  } catch {
    return fail("its answer is no JSON");
  }
}
