import { Command } from 'clipanion';
import type { ModelExplanation } from '../../home/index.js';
import { EXIT_CODES, OperatorCommand, type ProcessResponse } from '../OperatorCommand.js';

/** Prints the state of the processes named by `--admin`. */
export class StatusCommand extends OperatorCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    description:
      'Prints the state of routers and agents: readiness, configuration revision, memory and models.',
    examples: [
      [
        'Show two processes',
        'monsoonglade status --admin http://127.0.0.1:7430 --admin http://127.0.0.1:7431',
      ],
    ],
  });

  protected async run(): Promise<number> {
    const responses = await this.queryProcesses('/status');
    this.print(responses, responses.flatMap(describeProcess));
    return responses.every((response) => response.body) ? EXIT_CODES.done : EXIT_CODES.unavailable;
  }
}

function describeProcess(response: ProcessResponse): string[] {
  const status = response.body;
  if (!status) {
    return [`${response.url}: ${response.error ?? 'has no status'}`];
  }
  const ready = status.ready === true ? 'ready' : 'not ready';
  if (status.role === 'agent') {
    const backend = status.backendReachable === true ? 'reachable' : 'unreachable';
    const memory = `${String(status.committedBytes)} bytes committed, ${String(status.freeBytes)} free`;
    const models = (status.models as { modelId: string; phase: string; running: number }[]).map(
      (model) => `    ${model.modelId}: ${model.phase}, ${model.running} running`,
    );
    return [`agent ${String(status.id)}: ${ready}, backend server ${backend}, ${memory}`, ...models];
  }
  const platform = status.platformReachable === true ? 'reachable' : 'unreachable';
  const head = `router ${String(status.id)}: ${ready}, state revision ${String(status.stateRevision)}, platform ${platform}`;
  return [head, ...(status.models as ModelExplanation[]).flatMap(describeModel)];
}

function describeModel(model: ModelExplanation): string[] {
  const loaded = model.replicas.filter((replica) => replica.phase === 'ready').length;
  const head = `    ${model.modelId}: decided ${model.decidedReplicas}, loaded ${loaded}, waiting ${model.waiting}`;
  return [
    head,
    ...model.replicas.map(
      (replica) => `        ${replica.serverId}: ${replica.phase}, ${replica.running} running`,
    ),
  ];
}
