import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "@lentilspur/ports/seeded_random";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { createMember, createMembers } from "../members/member_fixtures.ts";
import type { ReachAnswer } from "./forwarded_request.ts";
import { ForwardingPeers } from "./forwarding_peers.ts";
import { PathChecker } from "./path_checker.ts";

const TARGET = {
  id: "t1",
  sequence: 1,
  service: "files",
  address: "t1:80",
  dataCentre: "bole",
  places: 2,
  leaving: false,
  coldMs: 0,
};

async function check(answers: readonly ReachAnswer[]): Promise<string> {
  const clock = new VirtualClock();
  const self = createMember("bole-0");
  const peers = answers.map((_, index) =>
    createMember(`kirkos-${index}`, { forwardPort: 1 })
  );
  const remaining = [...answers];
  const checker = new PathChecker({
    instance: self.instance,
    incarnation: self.incarnation,
    client: {
      forward: () =>
        Promise.resolve({
          kind: "unreached",
          proof: "no-connection",
          message: "none",
        }),
      fetchReachability: () => Promise.resolve(remaining.shift()!),
    },
    peers: new ForwardingPeers({
      clock,
      random: new SeededRandom(1),
      dataCentre: self.dataCentre,
      members: createMembers(self, [self, ...peers], clock.readMs()),
    }),
  });
  return (await checker.check(TARGET)).kind;
}

test("one instance that may have lost its own path does not prove that a target has failed", async () => {
  assert.equal(await check(["unreached", "unknown", "unknown"]), "unknown");
  assert.equal(await check(["unreached", "unreached", "unknown"]), "unreached");
  assert.equal(await check(["unreached", "unreached", "reached"]), "reached");
  assert.equal(await check(["unreached"]), "unreached");
});
