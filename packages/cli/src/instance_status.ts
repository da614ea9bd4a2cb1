/** What an instance says of itself at `GET /admin/status`. */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import { request } from "undici";
import { z } from "zod";

const statusSchema = z.object({
  instanceId: z.string(),
  dataCentre: z.string(),
  configurationVersion: z.int().min(0),
  inForceSinceMs: z.number(),
  foldedOffset: z.int().min(-1),
  leaseHeld: z.boolean(),
  ready: z.boolean(),
});

export type InstanceStatus = Readonly<z.output<typeof statusSchema>>;

/** The failure is a sentence for people. */
export type StatusFetcher = (
  httpAddress: string,
) => Promise<Result<InstanceStatus, string>>;

/** An instance answers from memory; past this it is as good as silent. */
const STATUS_TIMEOUT_MS = 1_000;

/**
 * Asks over a connection of its own, which is closed afterwards. The timeout
 * covers the whole exchange, because a connection may go silent after its
 * first byte as well.
 */
export async function fetchInstanceStatus(
  httpAddress: string,
): Promise<Result<InstanceStatus, string>> {
  try {
    const answer = await request(`http://${httpAddress}/admin/status`, {
      signal: AbortSignal.timeout(STATUS_TIMEOUT_MS),
      headers: { connection: "close" },
    });
    const body = await answer.body.text();
    return parseInstanceStatus(answer.statusCode, body);
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
}

function parseInstanceStatus(
  statusCode: number,
  body: string,
): Result<InstanceStatus, string> {
  if (statusCode !== 200) {
    return Err(`it answered with status ${statusCode}`);
  }
  try {
    const parsed = statusSchema.safeParse(JSON.parse(body));
    return parsed.success ? Ok(parsed.data) : Err("its answer lacks fields");
  } catch {
    return Err("its answer is no JSON");
  }
}
