/** The platform's instance list over HTTP; docs/standins.md has the protocol. */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import type {
  InstanceListFailure,
  InstanceListPort,
  ListedInstance,
} from "@lentilspur/ports/instance_list";
import { z } from "zod";
import { ConnectionPool } from "./connection_pool.ts";
import { parseJson } from "./log_client.ts";

const TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;
const MAX_CONNECTIONS = 2;
const MAX_UNHEARD_MS = 5_000;
/** 12,000 instances of some 200 bytes each fit many times. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

const COMMON_FIELDS = {
  id: z.string(),
  address: z.string(),
  dataCentre: z.string(),
  state: z.enum(["live", "leaving"]),
};
const LIST_ANSWER = z.object({
  instances: z.array(z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("entry"), ...COMMON_FIELDS }),
    z.object({
      kind: z.literal("target"),
      ...COMMON_FIELDS,
      template: z.string(),
      checksGrants: z.boolean().default(false),
    }),
  ])),
});

export class InstanceListClient implements InstanceListPort {
  readonly #pool: ConnectionPool;

  constructor(url: string, options: { readonly clock: Clock }) {
    this.#pool = new ConnectionPool(new URL(url).host, {
      clock: options.clock,
      maxConnections: MAX_CONNECTIONS,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxUnheardMs: MAX_UNHEARD_MS,
    });
  }

  async list(): Promise<
    Result<readonly ListedInstance[], InstanceListFailure>
  > {
    const sent = await this.#pool.send({
      method: "GET",
      path: "/instances",
      timeoutMs: TIMEOUT_MS,
      maxAnswerBytes: MAX_ANSWER_BYTES,
    });
    if (!sent.ok) {
      return Err({ kind: "unavailable", message: sent.val.message });
    }
    const body = LIST_ANSWER.safeParse(parseJson(sent.val.body));
    if (sent.val.status !== 200 || !body.success) {
      const message =
        `The instance list answered with status ${sent.val.status}`;
      return Err({ kind: "unavailable", message });
    }
    return Ok(body.data.instances);
  }

  close(): void {
    this.#pool.close();
  }
}
