#!/usr/bin/env node
import { Builtins, Cli } from 'clipanion';
import { AuditCommand } from './commands/AuditCommand.js';
import { DrainCommand } from './commands/DrainCommand.js';
import { ExplainRefusalCommand } from './commands/ExplainRefusalCommand.js';
import { ExplainCommand } from './commands/ExplainCommand.js';
import { PublishCommand } from './commands/PublishCommand.js';
import { QuarantineClearCommand, QuarantineListCommand } from './commands/QuarantineCommands.js';
import { StatusCommand } from './commands/StatusCommand.js';
import { TraceCommand } from './commands/TraceCommand.js';
import { ValidateCommand } from './commands/ValidateCommand.js';

const cli = new Cli({ binaryLabel: 'monsoonglade', binaryName: 'monsoonglade', binaryVersion: '0.1.0' });
cli.register(TraceCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(ValidateCommand);
cli.register(PublishCommand);
cli.register(StatusCommand);
cli.register(ExplainCommand);
cli.register(ExplainRefusalCommand);
cli.register(DrainCommand);
cli.register(AuditCommand);
cli.register(QuarantineListCommand);
cli.register(QuarantineClearCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
