#!/usr/bin/env node
import { Builtins, Cli, Command, Option } from 'clipanion';
import type { ServiceContainer } from '../kernel/index.js';
import { readDaemonSettings, readSecrets, SettingsError } from '../settings/index.js';
import { startDaemon } from './wire.js';

/** Exit code for settings that are wrong or ports that are taken. */
const EXIT_BAD_SETTINGS = 2;

/** Runs a router or an agent until it is told to stop. */
class DaemonCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Runs a router or an agent, as its settings say.',
    examples: [['Run with a settings file', 'monsoongladed --settings router.json']],
  });

  settings = Option.String('--settings', { description: 'JSON file with the settings.' });
  checkSettings = Option.String('--check-settings', { description: 'Checks a settings file and ends.' });

  override async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      this.context.stderr.write(`${(error as Error).message}\n`);
      return EXIT_BAD_SETTINGS;
    }
  }

  private async run(): Promise<number> {
    if (this.checkSettings !== undefined) {
      await readDaemonSettings(this.checkSettings);
      this.context.stdout.write(`${this.checkSettings}: correct.\n`);
      return 0;
    }
    if (this.settings === undefined) {
      throw new SettingsError('The option --settings FILE is missing.');
    }
    const kernel = await startDaemon(await readDaemonSettings(this.settings), readSecrets(process.env));
    this.context.stdout.write('ready\n');
    await waitForStop();
    await stop(kernel);
    return 0;
  }
}

/** Resolves at the first signal to stop; later ones change nothing. */
async function waitForStop(): Promise<void> {
  await new Promise<void>((resolve) => {
    process.on('SIGTERM', resolve);
    process.on('SIGINT', resolve);
  });
}

async function stop(kernel: ServiceContainer): Promise<void> {
  await kernel.stop();
}

const cli = new Cli({ binaryLabel: 'monsoongladed', binaryName: 'monsoongladed', binaryVersion: '0.1.0' });
cli.register(DaemonCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
process.exit(await cli.run(process.argv.slice(2), Cli.defaultContext));
