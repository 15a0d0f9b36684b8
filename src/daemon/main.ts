#!/usr/bin/env node
import { Builtins, Cli, Command, Option } from 'clipanion';
import type { ServiceContainer } from '../kernel/index.js';
import { readDaemonSettings, readSecrets, SettingsError } from '../settings/index.js';
import { startDaemon } from './startDaemon.js';

/** Exit code for invalid settings and for any other error, such as a port in use. */
const EXIT_ERROR = 2;

/** Runs a router or an agent until it receives SIGTERM or SIGINT. */
class DaemonCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Runs a router or an agent, depending on the role in its settings.',
    examples: [['Run with a settings file', 'monsoongladed --settings router.json']],
  });

  settings = Option.String('--settings', { description: 'JSON file with the settings.' });
  checkSettings = Option.String('--check-settings', { description: 'Checks a settings file and exits.' });

  override async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      this.context.stderr.write(`${(error as Error).message}\n`);
      return EXIT_ERROR;
    }
  }

  private async run(): Promise<number> {
    if (this.checkSettings !== undefined) {
      await readDaemonSettings(this.checkSettings);
      this.context.stdout.write(`${this.checkSettings}: valid.\n`);
      return 0;
    }
    if (this.settings === undefined) {
      throw new SettingsError('The option --settings FILE is missing.');
    }
    const services = await startDaemon(await readDaemonSettings(this.settings), readSecrets(process.env));
    this.context.stdout.write('ready\n');
    await waitForStopSignal();
    await stop(services);
    return 0;
  }
}

/** Resolves at the first SIGTERM or SIGINT; later ones have no effect. */
async function waitForStopSignal(): Promise<void> {
  await new Promise<void>((resolve) => {
    process.on('SIGTERM', resolve);
    process.on('SIGINT', resolve);
  });
}

async function stop(services: ServiceContainer): Promise<void> {
  await services.stop();
}

const cli = new Cli({ binaryLabel: 'monsoongladed', binaryName: 'monsoongladed', binaryVersion: '0.1.0' });
cli.register(DaemonCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
process.exit(await cli.run(process.argv.slice(2), Cli.defaultContext));
