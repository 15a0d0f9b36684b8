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

/** Platform clients of one run of a command. */
export interface OperatorSession {
  readonly store: HttpObjectStore;
  readonly audit: AuditTrail;
}

/** Base class of the operator commands: connection options, output format and error handling. */
export abstract class OperatorCommand extends Command {
  json = Option.Boolean('--json', false, { description: 'Prints JSON instead of text.' });
  platform = Option.String('--platform', {
    env: 'MONSOONGLADE_PLATFORM_URL',
    description: "URL of the platform's API; the token comes from MONSOONGLADE_PLATFORM_TOKEN.",
  });
  admin = Option.Array('--admin', {
    description:
      'Admin URL of a process, can be given several times; the token comes from MONSOONGLADE_ADMIN_TOKEN.',
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

  /** Runs the command and returns the exit code. */
  protected abstract run(): Promise<number>;

  /**
   * Prints a result as JSON or as text, depending on `--json`.
   * @param value - Value printed as JSON.
   * @param lines - Lines printed as text.
   */
  protected print(value: unknown, lines: readonly string[]): void {
    const text = this.json ? JSON.stringify(value) : lines.join('\n');
    this.context.stdout.write(`${text}\n`);
  }

  /**
   * Runs an action with clients of the platform, then writes the audit trail and closes the connections.
   * @param action - Action that returns the exit code.
   */
  protected async withPlatform(action: (session: OperatorSession) => Promise<number>): Promise<number> {
    if (this.platform === undefined) {
      throw new SettingsError('The option --platform URL (or MONSOONGLADE_PLATFORM_URL) is missing.');
    }
    const http = new PlatformHttp(this.platform, process.env.MONSOONGLADE_PLATFORM_TOKEN ?? '');
    const store = new HttpObjectStore(http);
    const audit = new AuditTrail(store, new SystemClock(), `operator-${userInfo().username}`);
    try {
      return await action({ store, audit });
    } finally {
      await audit.flush();
      await http.close();
    }
  }

  /**
   * Queries every process named by `--admin`.
   * @param path - Path and query on the admin listener.
   */
  protected async queryProcesses(path: string): Promise<ProcessResponse[]> {
    if (!this.admin || this.admin.length === 0) {
      throw new SettingsError('The option --admin URL is missing; name at least one process.');
    }
    return Promise.all(this.admin.map((url) => queryProcess(url, path)));
  }
}

/** Response of one process. */
export interface ProcessResponse {
  readonly url: string;
  /** Undefined when the process did not return its state. */
  readonly body: Record<string, unknown> | undefined;
  readonly error?: string;
}

async function queryProcess(url: string, path: string): Promise<ProcessResponse> {
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
        error: `responded with status ${response.statusCode}; check MONSOONGLADE_ADMIN_TOKEN`,
      };
    }
    return { url, body: (await response.body.json()) as Record<string, unknown> };
  } catch (error) {
    return { url, body: undefined, error: `does not respond (${(error as Error).message})` };
  }
}
