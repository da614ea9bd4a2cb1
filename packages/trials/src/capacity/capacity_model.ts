/**
 * From slopes to lines: what each role needs at the letter's size with today's
 * mechanisms, against the letter's limits.
 */
import {
  type CapacityLine,
  type ControlShare,
  decideVerdict,
  formatBytes,
  formatMicroseconds,
  formatNumber,
  formatPercent,
} from "./capacity_line.ts";
import type { CapacitySlopes } from "./capacity_slopes.ts";
import { computeLogLoad, listChangeRates } from "./change_rates.ts";
import {
  ASSUMED,
  LETTER,
  NODES,
  REQUESTS_PER_NODE,
  SHARDS,
  TARGETS,
} from "./letter_size.ts";
import { computeCorePercent } from "./meters.ts";

const EVERY = "every instance";
const GUARDIANS = 3;
/** The default settings renew and grant every 500 ms. */
const RENEWALS_PER_SECOND = 2;
const LIST_POLLS_PER_SECOND = 1;
const TEMPLATES = 3;

export function listCapacityLines(
  slopes: CapacitySlopes,
): readonly CapacityLine[] {
  const lines = [
    ...listStateLines(slopes),
    ...listLeaseLines(slopes),
    ...listPeerLines(slopes),
    ...listTailLines(slopes),
    ...listPlatformLines(slopes),
    ...listLossLines(slopes),
    ...listRequestLines(slopes),
  ];
  return [...listTotalLines(lines), ...lines];
}

/** The letter's control budget is one for all that a node does for control. */
function listTotalLines(
  lines: readonly CapacityLine[],
): readonly CapacityLine[] {
  const sum = (of: ControlShare["of"]): number =>
    lines.filter(({ role, share }) => role === EVERY && share?.of === of)
      .reduce((total, { share }) => total + share!.amount, 0);
  const make = (
    what: string,
    total: number,
    options: {
      readonly limit: number;
      readonly format: (value: number) => string;
    },
  ): CapacityLine => ({
    role: EVERY,
    what,
    mechanism: "All lines below that name this limit",
    slope: "-",
    figure: options.format(total),
    limit: options.format(options.limit),
    verdict: decideVerdict(total, options.limit),
    breaksAt: "",
  });
  return [
    make("Processor time for control, all together", sum("processor"), {
      limit: LETTER.controlCorePercent,
      format: formatPercent,
    }),
    make("Memory for control, all together", sum("memory"), {
      limit: LETTER.controlMemoryBytes,
      format: formatBytes,
    }),
    make("Traffic for control, all together", sum("traffic"), {
      limit: LETTER.controlBytesPerSecond,
      format: (value) => `${formatBytes(value)}/s`,
    }),
  ];
}

function listStateLines(
  { state }: CapacitySlopes,
): readonly CapacityLine[] {
  const perNode = state.heapBytesPerMember +
    ASSUMED.targetsPerNode * (state.heapBytesPerTarget +
        ASSUMED.shardsPerTarget * state.heapBytesPerShard);
  const total = NODES * perNode + LETTER.hotKeys * state.heapBytesPerHotKey;
  const checkpoint = NODES * state.checkpointBytesPerMember +
    TARGETS * state.checkpointBytesPerTarget +
    SHARDS * state.checkpointBytesPerShard +
    LETTER.hotKeys * state.checkpointBytesPerHotKey;
  const restoreMs = SHARDS * state.restoreMicrosecondsPerShard / 1_000;
  return [
    {
      role: EVERY,
      what: "Memory for the folded state",
      mechanism: "Every instance folds the whole log",
      slope: `${formatBytes(state.heapBytesPerShard)} a shard, ${
        formatBytes(state.heapBytesPerTarget)
      } a target, ${formatBytes(state.heapBytesPerMember)} a member, ${
        formatBytes(state.heapBytesPerHotKey)
      } a hot key`,
      figure: formatBytes(total),
      limit: formatBytes(LETTER.controlMemoryBytes),
      verdict: decideVerdict(total, LETTER.controlMemoryBytes),
      share: { of: "memory", amount: total },
      breaksAt: `${formatNumber(LETTER.controlMemoryBytes / perNode)} nodes`,
    },
    {
      role: EVERY,
      what: "Start from a checkpoint, processor time",
      mechanism: "Every instance restores the whole state",
      slope: `${
        formatMicroseconds(state.restoreMicrosecondsPerShard)
      } a shard, ${formatBytes(state.checkpointBytesPerShard)} of text a shard`,
      figure: `${formatNumber(restoreMs)} ms for ${formatBytes(checkpoint)}`,
      limit: `${LETTER.servedAgainWithinMs} ms until served again`,
      verdict: decideVerdict(restoreMs, LETTER.servedAgainWithinMs),
      breaksAt: `${
        formatNumber(
          LETTER.servedAgainWithinMs * 1_000 /
            state.restoreMicrosecondsPerShard,
        )
      } shards`,
    },
    {
      role: "whoever writes a checkpoint",
      what: "Event loop held by one checkpoint",
      mechanism: "The whole state is serialized at once",
      slope: `${
        formatMicroseconds(state.serializeMicrosecondsPerShard)
      } a shard`,
      figure: `${
        formatNumber(SHARDS * state.serializeMicrosecondsPerShard / 1_000)
      } ms`,
      limit: `${LETTER.p99Ms} ms for 99 in 100 requests`,
      verdict: decideVerdict(
        SHARDS * state.serializeMicrosecondsPerShard / 1_000,
        LETTER.p99Ms,
      ),
      breaksAt: `${
        formatNumber(
          LETTER.p99Ms * 1_000 / state.serializeMicrosecondsPerShard,
        )
      } shards`,
    },
  ];
}

function listLeaseLines(
  { peers, control, records }: CapacitySlopes,
): readonly CapacityLine[] {
  const load = computeLogLoad(listChangeRates(records));
  const renewals = GUARDIANS * RENEWALS_PER_SECOND;
  const percent = computeCorePercent(renewals, peers.renewMicroseconds);
  const bytes = 2 * renewals * peers.renewBytes;
  const watch = computeCorePercent(
    NODES * load.recordsPerSecond,
    control.watchMicrosecondsPerMember,
  );
  return [
    {
      role: EVERY,
      what: "Processor time of leases, as holder and as guardian",
      mechanism: "A pledge of each of 3 guardians every 500 ms",
      slope: `${
        formatMicroseconds(peers.renewMicroseconds)
      } a renewal, both ends`,
      figure: formatPercent(percent),
      limit: formatPercent(LETTER.controlCorePercent),
      verdict: decideVerdict(percent, LETTER.controlCorePercent),
      share: { of: "processor", amount: percent },
      breaksAt: "",
    },
    {
      role: EVERY,
      what: "Traffic of leases, both directions",
      mechanism: "As above",
      slope: `${formatBytes(peers.renewBytes)} a renewal and its reply`,
      figure: `${formatBytes(bytes)}/s`,
      limit: `${formatBytes(LETTER.controlBytesPerSecond)}/s`,
      verdict: decideVerdict(bytes, LETTER.controlBytesPerSecond),
      share: { of: "traffic", amount: bytes },
      breaksAt: "",
    },
    {
      role: EVERY,
      what: "Processor time of the watch for lost instances",
      mechanism:
        "Each instance looks through all members once a change of the fold",
      slope: `${
        formatMicroseconds(control.watchMicrosecondsPerMember)
      } a member and look`,
      figure: `${formatNumber(watch)} % of a core`,
      limit: formatPercent(LETTER.controlCorePercent),
      verdict: decideVerdict(watch, LETTER.controlCorePercent),
      share: { of: "processor", amount: watch },
      breaksAt: `${
        formatNumber(NODES * LETTER.controlCorePercent / watch)
      } nodes`,
    },
  ];
}

function listPeerLines({ peers }: CapacitySlopes): readonly CapacityLine[] {
  const memory = NODES * peers.memoryBytesPerPeer;
  const bytes = NODES * peers.idleBytesPerPeerAndSecond;
  const percent = computeCorePercent(
    NODES,
    peers.idleMicrosecondsPerPeerAndSecond,
  );
  const limits = {
    memory: LETTER.controlMemoryBytes / peers.memoryBytesPerPeer,
    bytes: LETTER.controlBytesPerSecond / peers.idleBytesPerPeerAndSecond,
    percent: NODES * LETTER.controlCorePercent / percent,
  };
  const mechanism = "An entry keeps connections to every steward it meets";
  return [
    {
      role: EVERY,
      what: "Memory of connections to peers",
      mechanism,
      slope: `${
        formatBytes(peers.memoryBytesPerPeer)
      } a peer, both ends, two connections`,
      figure: formatBytes(memory),
      limit: formatBytes(LETTER.controlMemoryBytes),
      verdict: decideVerdict(memory, LETTER.controlMemoryBytes),
      share: { of: "memory", amount: memory },
      breaksAt: `${formatNumber(limits.memory)} peers`,
    },
    {
      role: EVERY,
      what: "Traffic of keepalive pings to peers",
      mechanism,
      slope: `${
        formatBytes(peers.idleBytesPerPeerAndSecond)
      }/s a peer, both ends`,
      figure: `${formatBytes(bytes)}/s`,
      limit: `${formatBytes(LETTER.controlBytesPerSecond)}/s`,
      verdict: decideVerdict(bytes, LETTER.controlBytesPerSecond),
      share: { of: "traffic", amount: bytes },
      breaksAt: `${formatNumber(limits.bytes)} peers`,
    },
    {
      role: EVERY,
      what: "Processor time of keepalive pings",
      mechanism,
      slope: `${
        formatMicroseconds(peers.idleMicrosecondsPerPeerAndSecond)
      } a peer and second, both ends and the relay that counts`,
      figure: `${formatNumber(percent)} % of a core`,
      limit: formatPercent(LETTER.controlCorePercent),
      verdict: decideVerdict(percent, LETTER.controlCorePercent),
      share: { of: "processor", amount: percent },
      breaksAt: `${formatNumber(limits.percent)} peers`,
    },
  ];
}

function listTailLines({ records }: CapacitySlopes): readonly CapacityLine[] {
  const load = computeLogLoad(listChangeRates(records));
  const percent = computeCorePercent(1, load.foldMicrosecondsPerSecond);
  const out = load.bytesPerSecond * NODES;
  return [
    {
      role: EVERY,
      what: "Traffic of tailing the log",
      mechanism: "Every instance reads every record",
      slope: "The table of changes below",
      figure: `${formatBytes(load.bytesPerSecond)}/s`,
      limit: `${formatBytes(LETTER.controlBytesPerSecond)}/s`,
      verdict: decideVerdict(
        load.bytesPerSecond,
        LETTER.controlBytesPerSecond,
      ),
      share: { of: "traffic", amount: load.bytesPerSecond },
      breaksAt: `${
        formatNumber(
          NODES * LETTER.controlBytesPerSecond / load.bytesPerSecond,
        )
      } nodes, as changes grow with nodes`,
    },
    {
      role: EVERY,
      what: "Processor time of folding",
      mechanism: "Every instance folds every record",
      slope: "The table of changes below",
      figure: formatPercent(percent),
      limit: formatPercent(LETTER.controlCorePercent),
      verdict: decideVerdict(percent, LETTER.controlCorePercent),
      share: { of: "processor", amount: percent },
      breaksAt: "",
    },
    {
      role: "the platform's log",
      what: "Reads by all instances together",
      mechanism: "12,000 long polls",
      slope: `${formatBytes(load.bytesPerSecond)}/s each`,
      figure: `${formatBytes(out)}/s`,
      limit: "none named",
      verdict: "no limit named",
      breaksAt: "",
    },
    {
      role: "the platform's log",
      what: "Appends on an ordinary day",
      mechanism: "One record a change, concurrent entries batched",
      slope: "The table of changes below",
      figure: `${formatNumber(load.recordsPerSecond)}/s`,
      limit: `${ASSUMED.logAppendsPerSecond}/s`,
      verdict: decideVerdict(
        load.recordsPerSecond,
        ASSUMED.logAppendsPerSecond,
      ),
      breaksAt: "",
    },
  ];
}

function listPlatformLines(
  { control }: CapacitySlopes,
): readonly CapacityLine[] {
  const listed = NODES + TARGETS;
  const bytes = listed * control.listBytesPerInstance * LIST_POLLS_PER_SECOND;
  const units = SHARDS / TEMPLATES;
  const planPercent = computeCorePercent(
    1,
    units * control.planMicrosecondsPerUnit,
  );
  return [
    {
      role: "the planner of a template",
      what: "Traffic of reading the instance list",
      mechanism: "One member a template reads the whole list every second",
      slope: `${formatBytes(control.listBytesPerInstance)} an entry`,
      figure: `${formatBytes(bytes)}/s`,
      limit: `${formatBytes(LETTER.controlBytesPerSecond)}/s`,
      verdict: decideVerdict(bytes, LETTER.controlBytesPerSecond),
      breaksAt: `${
        formatNumber(
          LETTER.controlBytesPerSecond /
            (control.listBytesPerInstance * LIST_POLLS_PER_SECOND),
        )
      } entries, so today's 50 are over it`,
    },
    {
      role: "the planner of a template",
      what: "Processor time of one plan a second, nothing to move",
      mechanism: "One member plans all units of a template",
      slope: `${formatMicroseconds(control.planMicrosecondsPerUnit)} a unit`,
      figure: `${formatNumber(planPercent)} % of a core`,
      limit: formatPercent(LETTER.controlCorePercent),
      verdict: decideVerdict(planPercent, LETTER.controlCorePercent),
      share: { of: "processor", amount: planPercent },
      breaksAt: `${
        formatNumber(units * LETTER.controlCorePercent / planPercent)
      } units`,
    },
  ];
}

function listLossLines({ records }: CapacitySlopes): readonly CapacityLine[] {
  const dataCentre = NODES / LETTER.dataCentres;
  const targets = TARGETS / LETTER.dataCentres;
  const unbatched = dataCentre * records.instanceLoss.records +
    targets * records.targetLoss.records;
  const seconds = unbatched / ASSUMED.logAppendsPerSecond;
  const limitSeconds = LETTER.servedAgainWithinMs / 1_000;
  const bytes = dataCentre * records.instanceLoss.bytes +
    targets * records.targetLoss.bytes;
  const foldMs = (dataCentre * records.instanceLoss.foldMicroseconds +
    targets * records.targetLoss.foldMicroseconds) / 1_000;
  const rack = ASSUMED.nodesPerRack *
    (1 + ASSUMED.targetsPerNode) / ASSUMED.logAppendsPerSecond;
  return [
    {
      role: "the platform's log",
      what: "Appends when a data centre is lost",
      mechanism:
        "Each lost instance and target is one entry by its own successor; only entries of one author share a record",
      slope: `${
        formatNumber(records.instanceLoss.records)
      } record an instance, ${
        formatNumber(records.targetLoss.records)
      } a target`,
      figure: `${formatNumber(unbatched)} appends, ${
        formatNumber(seconds)
      } s at ${ASSUMED.logAppendsPerSecond}/s`,
      limit: `${limitSeconds} s, less 2.4 s until leases have lapsed`,
      verdict: decideVerdict(seconds, limitSeconds - 2.4),
      breaksAt: `${
        formatNumber(
          (limitSeconds - 2.4) * ASSUMED.logAppendsPerSecond /
            (1 + ASSUMED.targetsPerNode),
        )
      } instances lost at once`,
    },
    {
      role: "the platform's log",
      what: "Appends when a rack is lost",
      mechanism: "As above",
      slope: "As above",
      figure: `${formatNumber(rack)} s for ${ASSUMED.nodesPerRack} instances`,
      limit: `${limitSeconds} s, less 2.4 s until leases have lapsed`,
      verdict: decideVerdict(rack, limitSeconds - 2.4),
      breaksAt: "",
    },
    {
      role: EVERY,
      what: "Traffic and folding when a data centre is lost",
      mechanism: "Every instance reads and folds all of it",
      slope: `${formatBytes(records.instanceLoss.bytes)} an instance, ${
        formatBytes(records.targetLoss.bytes)
      } a target`,
      figure: `${formatBytes(bytes)}, ${formatNumber(foldMs)} ms of a core`,
      limit: `${limitSeconds} s`,
      verdict: decideVerdict(foldMs, limitSeconds * 1_000),
      breaksAt: "",
    },
  ];
}

function listRequestLines(
  { peers, state }: CapacitySlopes,
): readonly CapacityLine[] {
  const hop = computeCorePercent(REQUESTS_PER_NODE, peers.forwardMicroseconds);
  const locate = computeCorePercent(
    2 * REQUESTS_PER_NODE,
    state.locateKeyMicroseconds,
  );
  return [
    {
      role: EVERY,
      what: "Processor time of passing requests to stewards",
      mechanism: "One gRPC call a request, entry to steward",
      slope: `${
        formatMicroseconds(peers.forwardMicroseconds)
      } a call, both ends, 512 B of answer`,
      figure: `${formatNumber(hop)} % of a core at ${
        formatNumber(REQUESTS_PER_NODE)
      } requests/s`,
      limit: "one core",
      verdict: decideVerdict(hop, 100),
      breaksAt: `${
        formatNumber(REQUESTS_PER_NODE * 100 / hop)
      } requests/s a core, for this hop alone`,
    },
    {
      role: EVERY,
      what: "Processor time of finding a key's owner",
      mechanism: "xxhash64 to a shard, one look into the folded state",
      slope: `${formatMicroseconds(state.locateKeyMicroseconds)} a look`,
      figure: `${formatNumber(locate)} % of a core`,
      limit: "one core",
      verdict: decideVerdict(locate, 100),
      breaksAt: "",
    },
  ];
}
