import { Command, Option } from 'clipanion';
import type { ModelExplanation, ReplicaExplanation } from '../../home/index.js';
import { EXIT_CODES, OperatorCommand } from '../OperatorCommand.js';

/** Explains on which servers a model is loaded and why, with a forecast for a new request. */
export class ExplainCommand extends OperatorCommand {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'Explains on which servers a model is loaded and why, with a forecast for a new request.',
    examples: [
      ['Explain a model', 'monsoonglade explain quote-assistant/quotes --admin http://127.0.0.1:7430'],
    ],
  });

  model = Option.String({ name: 'MODEL' });

  protected async run(): Promise<number> {
    const responses = await this.queryProcesses(`/explain?model=${encodeURIComponent(this.model)}`);
    const ownerResponses = responses.filter((response) => response.body && 'forecast' in response.body);
    const explanations = ownerResponses.map((response) => response.body as unknown as ModelExplanation);
    if (explanations.length === 0) {
      this.context.stderr.write(
        `None of the ${responses.length} processes owns ${this.model}; add the other routers with --admin.\n`,
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
    `${model.modelId}: at most ${model.decidedReplicas} replicas (placement version ${model.placementVersion}).`,
    `Granted to: ${grants}. Only these servers may load it.`,
    ...model.replicas.map(describeReplica),
    `${model.waiting} requests are queued. A load takes ${model.loadMeanMs} ms on average, a request ${model.serviceMeanMs} ms.`,
    `Forecast for a new request: ${forecast}.`,
  ];
}

function describeReplica(replica: ReplicaExplanation): string {
  const usable = replica.usable ? 'accepts requests' : 'accepts no requests';
  return `    ${replica.serverId}: ${replica.phase}, ${usable}, ${replica.running} of ${replica.slotCount} slots in use`;
}
