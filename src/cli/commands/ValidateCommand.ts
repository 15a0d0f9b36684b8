import { Command, Option } from 'clipanion';
import { collectFiles } from '../../publish/index.js';
import { EXIT_CODES, OperatorCommand } from '../OperatorCommand.js';

/** Validates configuration files without a connection to the platform or to a process. */
export class ValidateCommand extends OperatorCommand {
  static override paths = [['validate']];
  static override usage = Command.Usage({
    description: 'Validates the service and organisation files below a folder.',
    examples: [['Validate the examples', 'monsoonglade validate examples']],
  });

  folder = Option.String({ name: 'DIR' });

  protected async run(): Promise<number> {
    const files = await collectFiles(this.folder);
    const lines = files.map((file) => `${file.file}: valid (${file.path})`);
    this.print(files, lines);
    return EXIT_CODES.done;
  }
}
