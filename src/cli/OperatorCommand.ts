import { userInfo } from 'node:os';
import { Command, Option } from 'clipanion';
import { request } from 'undici';
import { SystemClock } from '../kernel/index.js';
import { HttpObjectStore, PlatformHttp } from '../platform/index.js';
import { SettingsError } from '../settings/index.js';
import { AuditTrail } from '../telemetry/index.js';

/** Exit codes of the command-line tool. */
export const EXIT_CODES = {
  done: 0,
  usage: 1,
  badInput: 2,
  conflict: 3,
  unavailable: 4,
  notFound: 5,
} as const;

/** What a command that talks to the platform works with. */
export interface OperatorSession {
  readonly store: HttpObjectStore;
  readonly audit: AuditTrail;
}

/** Base of all commands: options for where to connect, output, and errors that tell what to do. */
export abstract class OperatorCommand extends Command {
  json = Option.Boolean('--json', false, { description: 'Prints JSON for programs.' });
  platform = Option.String('--platform', {
    env: 'MONSOONGLADE_PLATFORM_URL',
    description: "URL of the platform's API; the token comes from MONSOONGLADE_PLATFORM_TOKEN.",
  });
  admin = Option.Array('--admin', {
    description:
      "URL of a process's admin listener, may be repeated; the token comes from MONSOONGLADE_ADMIN_TOKEN.",
  });

  override async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      if (error instanceof SettingsError) {
        this.context.stderr.write(`${error.message}\n`);
        return EXIT_CODES.badInput;
      }
      throw error;
    }
  }

  /** Carries the command out and returns the exit code. */
  protected abstract run(): Promise<number>;

  /**
   * Prints a result.
   * @param value - For programs.
   * @param lines - For people.
   */
  protected print(value: unknown, lines: readonly string[]): void {
    const text = this.json ? JSON.stringify(value) : lines.join('\n');
    this.context.stdout.write(`${text}\n`);
  }

  /**
   * Works with the platform, and keeps the audit trail of what was changed.
   * @param work - The work.
   */
  protected async withPlatform(work: (session: OperatorSession) => Promise<number>): Promise<number> {
    if (this.platform === undefined) {
      throw new SettingsError('The option --platform URL (or MONSOONGLADE_PLATFORM_URL) is missing.');
    }
    const http = new PlatformHttp(this.platform, process.env.MONSOONGLADE_PLATFORM_TOKEN ?? '');
    const store = new HttpObjectStore(http);
    const audit = new AuditTrail(store, new SystemClock(), `operator-${userInfo().username}`);
    try {
      return await work({ store, audit });
    } finally {
      await audit.flush();
      await http.close();
    }
  }

  /**
   * Asks every process named by --admin.
   * @param path - Path of the admin listener.
   */
  protected async askProcesses(path: string): Promise<ProcessAnswer[]> {
    if (!this.admin || this.admin.length === 0) {
      throw new SettingsError('The option --admin URL is missing; name at least one process.');
    }
    return Promise.all(this.admin.map((url) => askProcess(url, path)));
  }
}

/** Answer of one process. */
export interface ProcessAnswer {
  readonly url: string;
  /** Undefined when the process gave no answer. */
  readonly body: Record<string, unknown> | undefined;
  readonly error?: string;
}

async function askProcess(url: string, path: string): Promise<ProcessAnswer> {
  try {
    const response = await request(`${url}${path}`, {
      headers: { authorization: `Bearer ${process.env.MONSOONGLADE_ADMIN_TOKEN ?? ''}` },
      signal: AbortSignal.timeout(5_000),
    });
    if (response.statusCode === 404) {
      await response.body.dump();
      return { url, body: undefined };
    }
    if (response.statusCode !== 200) {
      await response.body.dump();
      return {
        url,
        body: undefined,
        error: `answered ${response.statusCode}; check MONSOONGLADE_ADMIN_TOKEN`,
      };
    }
    return { url, body: (await response.body.json()) as Record<string, unknown> };
  } catch (error) {
    return { url, body: undefined, error: `does not answer (${(error as Error).message})` };
  }
}
