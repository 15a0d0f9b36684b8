import { Command, Option } from 'clipanion';
import type { ModelExplanation, ReplicaExplanation } from '../../home/index.js';
import { EXIT_CODES, OperatorCommand } from '../OperatorCommand.js';

/** Explains where a model is, why, and what a request would meet now. */
export class ExplainCommand extends OperatorCommand {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'Explains where a model is, why, and what a request would meet now.',
    examples: [
      ['Explain a model', 'monsoonglade explain quote-assistant/quotes --admin http://127.0.0.1:7430'],
    ],
  });

  model = Option.String({ name: 'MODEL' });

  protected async run(): Promise<number> {
    const answers = await this.askProcesses(`/explain?model=${encodeURIComponent(this.model)}`);
    const known = answers.filter((answer) => answer.body && 'forecast' in answer.body);
    const explanations = known.map((answer) => answer.body as unknown as ModelExplanation);
    if (explanations.length === 0) {
      this.context.stderr.write(
        `None of the ${answers.length} processes is the home of ${this.model}; name the other routers too.\n`,
      );
      return EXIT_CODES.notFound;
    }
    this.print(explanations, explanations.flatMap(describe));
    return EXIT_CODES.done;
  }
}

function describe(model: ModelExplanation): string[] {
  const grants = model.grants.map((grant) => `${grant.serverId} (${grant.state})`).join(', ') || 'none';
  const forecast = `${Math.round(model.forecast.startInMs)} ms to start, ${Math.round(model.forecast.finishInMs)} ms to finish`;
  return [
    `${model.modelId}: at most ${model.decidedReplicas} replicas were decided (placement version ${model.placementVersion}).`,
    `Granted to: ${grants}. Only these servers may load it.`,
    ...model.replicas.map(describeReplica),
    `${model.waiting} requests wait. A load takes ${model.loadMeanMs} ms on average, a request ${model.serviceMeanMs} ms.`,
    `A request now would meet: ${forecast}.`,
  ];
}

function describeReplica(replica: ReplicaExplanation): string {
  const usable = replica.usable ? 'takes work' : 'takes no work';
  return `    ${replica.serverId}: ${replica.phase}, ${usable}, ${replica.running} of ${replica.slotCount} slots in use`;
}
