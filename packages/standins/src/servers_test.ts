import assert from "node:assert/strict";
import { test } from "node:test";
import { InstanceListClient } from "@lentilspur/transport/instance_list_client";
import { LogClient } from "@lentilspur/transport/log_client";
import { TargetClient } from "@lentilspur/transport/target_client";
import { SystemClock } from "@lentilspur/ports/system_clock";
import type { DispatchRequest } from "@lentilspur/ports/target";
import { request } from "undici";
import { InstanceListServer } from "./instance_list_server.ts";
import { LogServer } from "./log_server.ts";
import { TargetServer } from "./target_server.ts";

const clock = new SystemClock();

async function sendControl(address: string, body: unknown): Promise<void> {
  const answer = await request(`http://${address}/control`, {
    method: "POST",
    body: JSON.stringify(body),
  });
  await answer.body.dump();
  assert.equal(answer.statusCode, 200);
}

test("the client and the log stand-in agree on appends, reads and failures", async () => {
  const server = new LogServer({ clock, retainRecords: 2 });
  const address = await server.start();
  const log = new LogClient(`http://${address}`, {
    clock,
    appendTimeoutMs: 500,
    readTimeoutMs: 500,
  });
  const polled = log.read("s", 0, { waitMs: 5_000 });
  const offsets = [await log.append("s", "a"), await log.append("s", "b")];
  await sendControl(address, { lostAnswers: 1, timeoutMs: 700 });
  const lost = await log.append("s", "c");
  const expired = await log.read("s", 0);
  const rest = await log.read("s", 1);
  await sendControl(address, { isDown: true });
  const down = await log.read("s", 1);
  log.close();
  await server.stop();
  const refused = await log.append("s", "d");
  assert.deepEqual(offsets.map((offset) => offset.val), [0, 1]);
  assert.deepEqual((await polled).unwrap().records[0], {
    offset: 0,
    payload: "a",
  });
  assert.ok(!lost.ok && lost.val.kind === "unavailable");
  assert.deepEqual(expired.val, { kind: "expired", firstOffset: 1 });
  assert.deepEqual(rest.unwrap(), {
    records: [{ offset: 1, payload: "b" }, { offset: 2, payload: "c" }],
    nextOffset: 3,
  });
  assert.ok(!down.ok && down.val.kind === "unavailable");
  assert.ok(!refused.ok && refused.val.kind === "refused");
});

test("the client reads what was entered in the instance list", async () => {
  const server = new InstanceListServer({ clock });
  const address = await server.start();
  const list = new InstanceListClient(`http://${address}`, { clock });
  const target = {
    kind: "target",
    id: "t1",
    address: "127.0.0.1:1",
    dataCentre: "bole",
    template: "demands",
  };
  await request(`http://${address}/instances`, {
    method: "POST",
    body: JSON.stringify(target),
  }).then((answer) => answer.body.dump());
  await request(`http://${address}/instances/t1`, {
    method: "PATCH",
    body: JSON.stringify({ state: "leaving" }),
  }).then((answer) => answer.body.dump());
  const listed = await list.list();
  list.close();
  await server.stop();
  assert.deepEqual(listed.unwrap(), [
    { ...target, state: "leaving", checksGrants: false },
  ]);
});

test("the client and a checking target agree on grants and refusals", async () => {
  const server = new TargetServer({
    id: "t1",
    template: "demands",
    clock,
    checksGrants: true,
  });
  const target = { id: "t1", address: await server.start() };
  const client = new TargetClient({
    clock,
    controlTimeoutMs: 5_000,
    maxStartMs: 60_000,
  });
  const dispatch: DispatchRequest = {
    requestId: "0-1-a",
    clientAccount: "nile",
    key: "ከፋይ/9",
    unit: "k:ከፋይ/9",
    stewardToken: 100,
    unitToken: 50,
    method: "POST",
    path: "/case-files/9/demands",
    headers: [],
    body: new Uint8Array(),
    remainingMs: 5_000,
    maxAnswerBytes: 10_000,
    notAfterMs: Infinity,
  };
  const { signal } = new AbortController();
  const before = await client.dispatch(target, dispatch, signal);
  const report = (await client.probe(target)).unwrap();
  const grant = {
    stewardToken: 100,
    bootId: report.bootId,
    validUntilMs: report.elapsedMs + 10_000,
    add: [{ unit: dispatch.unit, token: 50 }],
    remove: [],
    excludedKeys: null,
  };
  const granted = await client.grant(target, grant);
  const answered = await client.dispatch(target, dispatch, signal);
  const older = await client.grant(target, { ...grant, stewardToken: 99 });
  const other = await client.grant(target, { ...grant, bootId: "else" });
  await sendControl(target.address, { isDraining: true });
  const draining = await client.dispatch(target, dispatch, signal);
  client.close();
  await server.stop();
  assert.ok(!before.ok && before.val.cause === "fenced");
  assert.ok(granted.ok);
  const body = Buffer.from(answered.unwrap().body).toString();
  assert.equal(JSON.parse(body).key, dispatch.key);
  assert.deepEqual(older.val, { kind: "fenced", highestToken: 100 });
  assert.deepEqual(other.val, { kind: "restarted", bootId: report.bootId });
  assert.ok(!draining.ok && draining.val.cause === "draining");
});
