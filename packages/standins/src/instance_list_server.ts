/** The platform's instance list as a process; docs/standins.md has the API. */
import type { Clock } from "@lentilspur/ports/clock";
import { FakeInstanceList } from "@lentilspur/ports/fake_instance_list";
import { z } from "zod";
import {
  type Call,
  type HttpService,
  parseBody,
  type Reply,
  startHttpService,
} from "./http_service.ts";

const COMMON_FIELDS = {
  id: z.string().min(1),
  address: z.string().min(1),
  dataCentre: z.string().min(1),
  state: z.enum(["live", "leaving"]).default("live"),
};
const INSTANCE_BODY = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("entry"), ...COMMON_FIELDS }),
  z.object({
    kind: z.literal("target"),
    ...COMMON_FIELDS,
    template: z.string().min(1),
    checksGrants: z.boolean().default(false),
  }),
]);
const CONTROL_BODY = z.object({
  lagMs: z.number().nonnegative().optional(),
  isDown: z.boolean().optional(),
});
const STATE_BODY = z.object({ state: z.enum(["live", "leaving"]) });
const INSTANCE = /^\/instances\/([^/]+)$/;

export class InstanceListServer {
  readonly #list: FakeInstanceList;
  #service: HttpService | undefined;

  constructor(
    options: { readonly clock: Clock; readonly lagMs?: number },
  ) {
    this.#list = new FakeInstanceList(options.clock, options);
  }

  /** Resolves with `host:port`. */
  async start(port = 0): Promise<string> {
    this.#service = await startHttpService({
      port,
      routes: [
        {
          method: "GET",
          pattern: /^\/instances$/,
          handle: () => this.#answerList(),
        },
        {
          method: "POST",
          pattern: /^\/instances$/,
          handle: (call) => this.#add(call),
        },
        {
          method: "PATCH",
          pattern: INSTANCE,
          handle: (call) => this.#setState(call),
        },
        {
          method: "DELETE",
          pattern: INSTANCE,
          handle: (call) => this.#remove(call),
        },
        {
          method: "POST",
          pattern: /^\/control$/,
          handle: (call) => this.#applyControl(call),
        },
      ],
    });
    return this.#service.address;
  }

  async stop(): Promise<void> {
    await this.#service?.close();
  }

  async #answerList(): Promise<Reply> {
    const listed = await this.#list.list();
    return listed.ok
      ? { status: 200, body: { instances: listed.val } }
      : { status: 503, body: listed.val };
  }

  #add(call: Call): Reply {
    const body = INSTANCE_BODY.safeParse(parseBody(call));
    if (!body.success) {
      return { status: 400, body: { message: body.error.message } };
    }
    this.#list.set(body.data);
    return { status: 200 };
  }

  #setState(call: Call): Reply {
    const body = STATE_BODY.safeParse(parseBody(call));
    if (!body.success) {
      return { status: 400, body: { message: body.error.message } };
    }
    this.#list.setState(call.captured[0]!, body.data.state);
    return { status: 200 };
  }

  #remove(call: Call): Reply {
    this.#list.remove(call.captured[0]!);
    return { status: 200 };
  }

  #applyControl(call: Call): Reply {
    const body = CONTROL_BODY.safeParse(parseBody(call));
    if (!body.success) {
      return { status: 400, body: { message: body.error.message } };
    }
    if (body.data.lagMs !== undefined) {
      this.#list.setLag(body.data.lagMs);
    }
    if (body.data.isDown !== undefined) {
      this.#list.setDown(body.data.isDown);
    }
    return { status: 200 };
  }
}
