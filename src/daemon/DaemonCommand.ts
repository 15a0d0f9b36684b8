import { Command, Option } from 'clipanion';
import { ServiceContainer } from '../kernel/index.js';
import { readDaemonSettings, readSecrets, SettingsError } from '../settings/index.js';
import { countUncaughtErrors } from './countUncaughtErrors.js';
import { lifecycle } from './daemonProcess.js';
import { EXIT_FAILED } from './ProcessLifecycle.js';
import { SERVICE_NAMES } from './serviceNames.js';
import { startDaemon } from './startDaemon.js';

/** Runs a router or an agent until it receives SIGTERM or SIGINT. */
export class DaemonCommand extends Command {
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
      if (!lifecycle.isStopping) {
        this.context.stderr.write(`${(error as Error).message}\n`);
      }
      if (this.settings === undefined) {
        return EXIT_FAILED;
      }
      await lifecycle.failStart(error);
      return waitForExit();
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
    const services = new ServiceContainer((error) => lifecycle.logError('service not stopped', error));
    lifecycle.onStop(() => services.stop());
    const settings = await readDaemonSettings(this.settings);
    lifecycle.identify({ instanceId: settings.id, role: settings.role });
    await startDaemon(settings, readSecrets(process.env), services);
    countUncaughtErrors(lifecycle, services.getOrThrow(SERVICE_NAMES.metrics));
    this.context.stdout.write('ready\n');
    lifecycle.logStarted();
    return waitForExit();
  }
}

/** Never resolves: the lifecycle exits the process. */
function waitForExit(): Promise<never> {
  return new Promise(() => undefined);
}
