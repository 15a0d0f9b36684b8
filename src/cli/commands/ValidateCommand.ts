import { Command, Option } from 'clipanion';
import { collectFiles } from '../../publish/index.js';
import { EXIT_CODES, OperatorCommand } from '../OperatorCommand.js';

/** Checks configuration files without talking to anything. */
export class ValidateCommand extends OperatorCommand {
  static override paths = [['validate']];
  static override usage = Command.Usage({
    description: 'Checks the service and organisation files below a folder.',
    examples: [['Check the examples', 'monsoonglade validate examples']],
  });

  folder = Option.String({ name: 'DIR' });

  protected async run(): Promise<number> {
    const files = await collectFiles(this.folder);
    const lines = files.map((file) => `${file.file}: correct (${file.path})`);
    this.print(files, lines);
    return EXIT_CODES.done;
  }
}
