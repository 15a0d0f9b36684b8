import { toDataCentreId } from '../src/domain/index.js';
import { FleetView, ServerChooser, type AgentReport, type ServerEntry } from '../src/direct/index.js';
import { Random } from '../src/kernel/index.js';
import { ENGINE_SERVICE, makeEngineEntry, makeEngineReport } from './engineFleet.js';
import { roundFigure, type Figure } from './Figure.js';

/** Choices between two reports of all agents, and number of such rounds. */
const CHOICES_PER_ROUND = 400;
const ROUND_COUNT = 20;
const ROUND_MS = 500;
const ROUTER_COUNT = 23;
/** Largest time of one choice among the servers of the present deployments, in microseconds. */
const TARGET_US = 60;

/**
 * Measures the processor time of a choice where every server holds the model, and of applying the reports of all agents
 * once.
 */
export function measureChooseServer(): Figure[] {
  return [31, 4_300].flatMap((serverCount) => measureServerCount(serverCount));
}

function measureServerCount(serverCount: number): Figure[] {
  const random = new Random(1);
  const entries = Array.from({ length: serverCount }, (_, index) =>
    makeEngineEntry({ index, models: ['m0', `m${1 + (index % 100)}`], slotCount: 48 }),
  );
  const view = new FleetView();
  view.applyList(entries, 0);
  const chooser = new ServerChooser(view, toDataCentreId('d1'), () => random.nextFraction());
  const choiceCount = serverCount > 1_000 ? CHOICES_PER_ROUND / 10 : CHOICES_PER_ROUND;
  let choiceMs = 0;
  let reportMs = 0;
  for (let round = 0; round < ROUND_COUNT; round++) {
    const nowMs = round * ROUND_MS;
    const reports = entries.map((entry) => makeReport(entry, random));
    const reportStartMs = performance.now();
    for (const report of reports) {
      view.applyReport(report, nowMs);
    }
    const choiceStartMs = performance.now();
    for (let choice = 0; choice < choiceCount; choice++) {
      chooser.recordArrival({ serviceId: ENGINE_SERVICE, model: 'm0' }, nowMs);
      const chosen = chooser.chooseServer(REQUIREMENTS, nowMs);
      if (chosen) {
        chooser.recordSent(chosen.entry.serverId, nowMs, 1_000);
        chooser.recordEnded(chosen.entry.serverId, false, nowMs, 50);
      }
    }
    // The first rounds run code that is not compiled yet.
    if (round >= ROUND_COUNT / 2) {
      reportMs += choiceStartMs - reportStartMs;
      choiceMs += performance.now() - choiceStartMs;
    }
  }
  const roundCount = ROUND_COUNT / 2;
  const choiceUs = roundFigure((choiceMs * 1_000) / (roundCount * choiceCount));
  const reportUs = roundFigure((reportMs * 1_000) / (roundCount * serverCount));
  const target = serverCount === 31 ? `<= ${TARGET_US}` : undefined;
  return [
    { name: `chooseServer.${serverCount}`, value: choiceUs, unit: 'us', target },
    { name: `chooseServer.report.${serverCount}`, value: reportUs, unit: 'us' },
  ];
}

const REQUIREMENTS = {
  serviceId: ENGINE_SERVICE,
  model: 'm0',
  isInteractive: true,
  tokenCount: 1_000,
  promptTokens: 800,
  latencyTargetMs: 300,
  maxGapMs: 200,
  excludedServerIds: new Set<never>(),
};

function makeReport(entry: ServerEntry, random: Random): AgentReport {
  const makePace = () => ({
    gapMs: 30 + random.nextInt(60),
    streamCount: 8,
    runningCount: random.nextInt(24),
  });
  const makeUse = () => ({ runningCount: 4, idleForMs: random.nextInt(100), isProtected: true });
  const overrides = {
    runningCount: random.nextInt(24),
    usedCacheTokens: random.nextInt(20_000),
    uses: Object.fromEntries(entry.heldModels.map(({ name }) => [name, makeUse()])),
    paces: Object.fromEntries(entry.heldModels.map(({ name }) => [name, makePace()])),
    routerCount: ROUTER_COUNT,
  };
  return makeEngineReport(entry, overrides);
}
