/**
 * The least that moleculer-web does: one route, one action, no body parser and
 * no log. Run as a process, it is what the entry is compared with.
 */
import moleculer from "moleculer";
import ApiGateway from "moleculer-web";
import type { AddressInfo } from "node:net";
import type { Server } from "node:http";

const ANSWER = Buffer.from("{}");

const broker = new moleculer.ServiceBroker({
  logger: false,
  transporter: null,
  validator: false,
  internalServices: false,
});
broker.createService({
  name: "calendars",
  actions: { read: () => ANSWER },
});
const gateway = broker.createService({
  name: "http",
  mixins: [ApiGateway as unknown as moleculer.ServiceSchema],
  settings: {
    ip: "127.0.0.1",
    port: 0,
    logRequest: null,
    logRequestParams: null,
    logResponse: null,
    logRouteRegistration: null,
    routes: [{
      path: "/",
      aliases: { "GET /calendars/:key": "calendars.read" },
      mappingPolicy: "restrict",
      bodyParsers: false,
    }],
  },
});
await broker.start();
const { port } = (gateway["server"] as Server).address() as AddressInfo;
console.log(JSON.stringify({ listening: `127.0.0.1:${port}` }));
